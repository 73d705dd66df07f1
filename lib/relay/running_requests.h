// The requests that run on the own target, as far as its calls depend on them.

#ifndef YUCCASTAIR_LIB_RELAY_RUNNING_REQUESTS_H_
#define YUCCASTAIR_LIB_RELAY_RUNNING_REQUESTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "call.pb.h"
#include "yuccastair/admission/call_throttle.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// A request that runs on the own target.
struct RunningRequest {
  std::string id;
  std::string route;
  support::TimePoint deadline;
  /// When the caller's request began that it belongs to.
  support::TimePoint requested_at;
  wire::Importance importance = wire::IMPORTANCE_NORMAL;
  std::uint32_t rank = 0;
  std::uint32_t depth = 1;
  /// Another target may have run it before.
  bool repeated = false;
  /// A call that the target made for it has failed.
  bool call_failed = false;
  /// The worst that any of its calls has met.
  admission::DownstreamOutcome calls_end =
      admission::DownstreamOutcome::kServed;
  /// A service without targets to which a call could not be sent.
  std::string missing_service;
};

/// Finds the request for which the own target makes a call. Targets do not name
/// it. Many extend its id by a dot and a part of their own; otherwise the call
/// ends at the deadline of its request, and the deadlines of most concurrent
/// requests differ. A wrong guess gives the call the importance of another
/// request that runs on the same target, and tells that one of its failure.
class RunningRequests {
 public:
  using Held = std::shared_ptr<RunningRequest>;

  /// Largest difference between the deadlines of a call and its request: the
  /// target's rounding to ms and the time between its clock readings.
  static constexpr std::chrono::milliseconds kTolerance{25};

  void Add(const Held& request) {
    by_deadline_.emplace(request->deadline, request);
    by_id_[request->id] = request;
  }

  void Remove(const Held& request) {
    const auto named = by_id_.find(request->id);
    if (named != by_id_.end() && named->second == request)
      by_id_.erase(named);
    auto [it, end] = by_deadline_.equal_range(request->deadline);
    for (; it != end; ++it) {
      if (it->second == request) {
        by_deadline_.erase(it);
        return;
      }
    }
  }

  /// Returns the request that the call \p call_id extends, otherwise the one
  /// whose deadline is nearest; null if none is near.
  Held FindParent(const std::string& call_id,
                  support::TimePoint deadline) const {
    const auto named = by_id_.find(call_id.substr(0, call_id.rfind('.')));
    return named != by_id_.end() ? named->second : Nearest(deadline);
  }

 private:
  Held Nearest(support::TimePoint deadline) const {
    Held best;
    support::Duration distance = kTolerance;
    const auto after = by_deadline_.lower_bound(deadline);
    if (after != by_deadline_.end() && after->first - deadline <= distance) {
      best = after->second;
      distance = after->first - deadline;
    }
    if (after != by_deadline_.begin()) {
      const auto before = std::prev(after);
      if (deadline - before->first < distance)
        best = before->second;
    }
    return best;
  }

  std::multimap<support::TimePoint, Held> by_deadline_;
  std::unordered_map<std::string, Held> by_id_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_RUNNING_REQUESTS_H_
