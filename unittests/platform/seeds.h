// The seeds with which a randomised test of the whole system is run.

#ifndef YUCCASTAIR_UNITTESTS_PLATFORM_SEEDS_H_
#define YUCCASTAIR_UNITTESTS_PLATFORM_SEEDS_H_

#include <cstdint>
#include <cstdlib>
#include <numeric>
#include <vector>

namespace yuccastair {

inline std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text != nullptr ? std::strtoull(text, nullptr, 10) : fallback;
}

/// YUCCASTAIR_SEED names one seed; otherwise as many are run as
/// YUCCASTAIR_SEEDS says, from 1 on.
inline std::vector<std::uint64_t> SeedsToRun(std::uint64_t default_count) {
  const std::uint64_t only = FromEnvironment("YUCCASTAIR_SEED", 0);
  if (only != 0)
    return {only};
  std::vector<std::uint64_t> seeds(
      FromEnvironment("YUCCASTAIR_SEEDS", default_count));
  std::iota(seeds.begin(), seeds.end(), 1);
  return seeds;
}

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_PLATFORM_SEEDS_H_
