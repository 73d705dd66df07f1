// Distributes the requests of a route over its services by weight.

#ifndef YUCCASTAIR_LIB_RELAY_WEIGHTED_ROUND_ROBIN_H_
#define YUCCASTAIR_LIB_RELAY_WEIGHTED_ROUND_ROBIN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy.pb.h"

namespace yuccastair::relay {

/// Smooth weighted round robin: over any sequence of requests, each of two
/// services gets its share to within one request. The sequence starts at a
/// random choice of its period, so that each single choice, the first included,
/// has the probability of its weight. Many relays with few requests each
/// therefore keep the shares together, also after restarts.
class WeightedRoundRobin {
 public:
  using RandomBelow = std::function<std::uint32_t(std::uint32_t bound)>;

  explicit WeightedRoundRobin(RandomBelow random_below)
      : random_below_(std::move(random_below)) {}

  /// Returns the service for the next request of \p route.
  const std::string& Pick(const wire::PolicyRoute& route);

  /// Discards the state of all routes; must be called when the policy has
  /// changed.
  void Reset() { current_weights_.clear(); }

 private:
  const RandomBelow random_below_;
  // Current weight of each share, by route. Their sum is 0 between two choices.
  std::unordered_map<std::string, std::vector<std::int64_t>> current_weights_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_WEIGHTED_ROUND_ROBIN_H_
