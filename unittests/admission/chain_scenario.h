// Reports and orders that look up a deep service through a middle one, and
// views that use it directly.

#ifndef YUCCASTAIR_UNITTESTS_ADMISSION_CHAIN_SCENARIO_H_
#define YUCCASTAIR_UNITTESTS_ADMISSION_CHAIN_SCENARIO_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "chain_simulation.h"

namespace yuccastair::admission {

enum Service : std::size_t { kFront, kMiddle, kDeep };
enum Kind : std::size_t { kReport, kOrder, kView, kStatus, kLookup };

inline constexpr std::size_t kDeepTargets = 6;
inline constexpr std::uint32_t kDeepSlots = 23;
inline constexpr auto kLookupWork = std::chrono::milliseconds(30);
inline constexpr double kLookupsPerRequest = 4;

/// Lookups that \p targets of the deep service can finish in a second.
inline double LookupCapacity(std::size_t targets) {
  return static_cast<double>(targets) * kDeepSlots / 0.030;
}

/// Reports and orders look up the deep service through the middle one; views
/// use it directly. All of its targets together bear about twice the load.
inline ChainSimulation MakeSimulation(std::uint64_t seed,
                                      std::size_t front_targets = 6) {
  using namespace std::chrono_literals;
  std::vector<ChainClass> classes(5);
  classes[kReport] = {"report", kFront,    120ms, 1500ms,
                      5000ms,   {kStatus}, 270,   2};
  classes[kOrder] = {"order", kFront, 160ms, 1500ms, 5000ms, {kStatus}, 100, 0};
  classes[kView] = {"view", kDeep, 48ms, 150ms, 600ms, {}, 76, 1};
  classes[kStatus] = {"status", kMiddle, 15ms,
                      800ms,    2000ms,  {kLookup, kLookup, kLookup, kLookup}};
  classes[kLookup] = {"lookup", kDeep, kLookupWork, 300ms, 700ms, {}};
  return ChainSimulation(
      std::move(classes),
      {{front_targets, 150}, {3, 248}, {kDeepTargets, kDeepSlots}}, seed);
}

/// Leaves \p targets of the deep service in use and plays \p time of it, after
/// the change has been settled.
inline void RunBelowCapacity(ChainSimulation& simulation,
                             std::size_t targets,
                             std::chrono::seconds time) {
  constexpr std::chrono::seconds kBefore{5};
  constexpr std::chrono::seconds kSettling{3};
  simulation.RunFor(kBefore);
  simulation.SetTargetsUp(kDeep, targets);
  simulation.RunFor(kSettling);
  simulation.ResetTallies();
  simulation.RunFor(time);
}

inline double Share(std::uint64_t part, std::uint64_t whole) {
  return static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_UNITTESTS_ADMISSION_CHAIN_SCENARIO_H_
