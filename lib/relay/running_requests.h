// Tracks the requests that run on the local target, to relate its calls to
// them.

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

/// A request that runs on the local target.
struct RunningRequest {
  std::string id;
  std::string route;
  support::TimePoint deadline;
  /// Start of the caller's request to which this request belongs.
  support::TimePoint requested_at;
  wire::Importance importance = wire::IMPORTANCE_NORMAL;
  std::uint32_t rank = 0;
  std::uint32_t depth = 1;
  admission::RequestKind caller_kind = admission::RequestKind::kRepeatable;
  /// The request is a retry, or a call of one: it may have run before.
  bool is_retry = false;
  /// A call that the target made for this request has failed.
  bool downstream_call_failed = false;
  /// Worst outcome among its calls.
  admission::DownstreamOutcome worst_call_outcome =
      admission::DownstreamOutcome::kServed;
  /// Service without targets to which a call could not be sent; empty if none.
  std::string missing_service;
};

/// Finds the request for which the local target makes a call. Targets do not
/// state it. Many of them extend the request id with a dot and a suffix. For
/// other calls, the deadline decides: a call ends at the deadline of its
/// request, and the deadlines of most concurrent requests differ. On a wrong
/// match, the call gets the importance of another request that runs on the same
/// target, and a failure of the call is recorded for that request.
class RunningRequests {
 public:
  using RequestPtr = std::shared_ptr<RunningRequest>;

  /// Maximum difference between the deadlines of a call and its request. Covers
  /// the target's rounding to ms and the time between its clock readings.
  static constexpr std::chrono::milliseconds kDeadlineTolerance{25};

  void Add(const RequestPtr& request) {
    by_deadline_.emplace(request->deadline, request);
    by_id_[request->id] = request;
  }

  void Remove(const RequestPtr& request) {
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

  /// Returns the request whose id \p call_id extends; otherwise the one with
  /// the nearest deadline, or null if none is within kDeadlineTolerance.
  RequestPtr FindParent(const std::string& call_id,
                        support::TimePoint deadline) const {
    const auto named = by_id_.find(call_id.substr(0, call_id.rfind('.')));
    return named != by_id_.end() ? named->second : FindByDeadline(deadline);
  }

 private:
  RequestPtr FindByDeadline(support::TimePoint deadline) const {
    RequestPtr best;
    support::Duration distance = kDeadlineTolerance;
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

  std::multimap<support::TimePoint, RequestPtr> by_deadline_;
  std::unordered_map<std::string, RequestPtr> by_id_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_RUNNING_REQUESTS_H_
