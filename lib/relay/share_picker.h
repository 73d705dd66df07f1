// Distributes the requests of a route over its services by weight.

#ifndef YUCCASTAIR_LIB_RELAY_SHARE_PICKER_H_
#define YUCCASTAIR_LIB_RELAY_SHARE_PICKER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy.pb.h"

namespace yuccastair::relay {

/// Smooth weighted round robin: over any sequence of requests, each service
/// gets its share to within one request. The initial state is random, so that
/// the relays do not all send their first requests to the same service.
class SharePicker {
 public:
  using Random = std::function<std::uint32_t(std::uint32_t bound)>;

  explicit SharePicker(Random random_below)
      : random_below_(std::move(random_below)) {}

  /// Returns the service for the next request of \p route.
  const std::string& Pick(const wire::PolicyRoute& route);

  /// Discards the state of all routes; must be called when the policy has
  /// changed.
  void Reset() { credits_.clear(); }

 private:
  const Random random_below_;
  // Current weight of each share, by route. Their sum stays below the sum of
  // the configured weights.
  std::unordered_map<std::string, std::vector<std::int64_t>> credits_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_SHARE_PICKER_H_
