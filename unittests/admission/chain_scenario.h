// A simulated chain of services: reports and orders call a deep service through
// a middle one, and views call it directly.

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

/// Returns the lookups that \p targets of the deep service can finish per
/// second.
inline double LookupCapacity(std::size_t targets) {
  return static_cast<double>(targets) * kDeepSlots / 0.030;
}

/// Returns a simulation of the chain. The targets of the deep service together
/// have about twice the capacity that the load needs.
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

/// Reduces the deep service to \p targets and simulates \p time, with fresh
/// counts, after the throttles have adapted.
inline void RunWithReducedTargets(ChainSimulation& simulation,
                                  std::size_t targets,
                                  std::chrono::seconds time) {
  constexpr std::chrono::seconds kWarmUp{5};
  constexpr std::chrono::seconds kAdaptation{3};
  simulation.RunFor(kWarmUp);
  simulation.SetTargetsUp(kDeep, targets);
  simulation.RunFor(kAdaptation);
  simulation.ResetTallies();
  simulation.RunFor(time);
}

inline double Share(std::uint64_t part, std::uint64_t whole) {
  return static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_UNITTESTS_ADMISSION_CHAIN_SCENARIO_H_
