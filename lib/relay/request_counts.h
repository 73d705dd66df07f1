// Counts the outcomes of a relay's requests for its summary line.

#ifndef YUCCASTAIR_LIB_RELAY_REQUEST_COUNTS_H_
#define YUCCASTAIR_LIB_RELAY_REQUEST_COUNTS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "call.h"

namespace yuccastair::relay {

/// Completed requests by route and service since the last TakeJson(). Calls of
/// the local target are counted separately for each route whose requests made
/// them, so that the lines of all relays show which services a route depends
/// on.
class RequestCounts {
 public:
  /// Counts one request. \p status is 0 if the caller disconnected. \p
  /// from_target states whether a target's own response was delivered. \p
  /// parent_route is the route of the local target's request that made this
  /// call; empty for a request of a caller.
  void RecordRequest(const RelayCall& call,
                     unsigned status,
                     bool from_target,
                     const std::string& parent_route);

  /// Returns the counts as a list of objects without zero or empty members, and
  /// resets them.
  nlohmann::json TakeJson();

 private:
  struct OutcomeCounts {
    std::uint64_t served = 0;
    // Rejected by the system with a response that states that nothing has run.
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    // Cancelled by their callers.
    std::uint64_t cancelled = 0;
  };
  // Route, service, and the route whose request made the call.
  using Key = std::tuple<std::string, std::string, std::string>;

  std::map<Key, OutcomeCounts> counts_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_REQUEST_COUNTS_H_
