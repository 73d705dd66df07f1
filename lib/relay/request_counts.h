// Counts how the requests of a relay ended, for its summary line.

#ifndef YUCCASTAIR_LIB_RELAY_REQUEST_COUNTS_H_
#define YUCCASTAIR_LIB_RELAY_REQUEST_COUNTS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "call.h"

namespace yuccastair::relay {

/// Ended requests by route and service since the last Take(). Calls of the own
/// target are counted for each route whose requests have made them, so that the
/// lines of all relays show which services a route needs.
class RequestCounts {
 public:
  /// Counts one request. \p status is 0 if the caller has left; \p by_target
  /// says whether a target's own answer was delivered. \p called_by is the
  /// route of the request that the own target runs and that has made the call;
  /// empty for the request of a caller.
  void Count(const RelayCall& call,
             unsigned status,
             bool by_target,
             const std::string& called_by);

  /// Returns the counts as a list of objects, without members that are 0 or
  /// empty, and begins anew.
  nlohmann::json Take();

 private:
  struct Counts {
    std::uint64_t served = 0;
    // Answered by the system in a way that says that nothing has run.
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    // Given up by their callers.
    std::uint64_t left = 0;
  };
  // Route, service, and the route that it was called by.
  using Key = std::tuple<std::string, std::string, std::string>;

  std::map<Key, Counts> counts_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_REQUEST_COUNTS_H_
