// A request on its way to a target, and its outcome.

#ifndef YUCCASTAIR_LIB_RELAY_CALL_H_
#define YUCCASTAIR_LIB_RELAY_CALL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "call.pb.h"
#include "yuccastair/admission/call_throttle.h"
#include "yuccastair/routing/retry_policy.h"
#include "yuccastair/stream/body_source.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Notifies the component that currently holds a call when its caller
/// disconnects, and when a call that still waits must not wait any longer.
class Cancellation {
 public:
  /// Whether the caller has disconnected.
  bool requested() const { return requested_; }
  /// Whether the relay is about to stop, so that the call must end with a
  /// refusal unless it is already running.
  bool wait_ended() const { return wait_ended_; }

  /// Sets the function that CheckCaller() uses to test whether the caller has
  /// disconnected. \p disconnect_check must stay valid until the call has
  /// ended.
  void SetDisconnectCheck(std::function<bool()> disconnect_check) {
    disconnect_check_ = std::move(disconnect_check);
  }

  /// Tests whether the caller has disconnected. Under load, the event that
  /// reports the disconnection may still be queued when the call is about to be
  /// sent.
  bool CheckCaller() {
    if (!requested_ && disconnect_check_ && disconnect_check_())
      Request();
    return requested_;
  }

  void Request() {
    requested_ = true;
    if (handler_)
      std::exchange(handler_, nullptr)();
  }

  /// Sets the function to call on cancellation, replacing an earlier one. Calls
  /// it at once if cancellation was already requested.
  void SetHandler(std::function<void()> handler) {
    if (requested_)
      handler();
    else
      handler_ = std::move(handler);
  }
  /// Ends a wait for a target; a call that runs is not affected.
  void EndWait() {
    wait_ended_ = true;
    if (wait_handler_)
      std::exchange(wait_handler_, nullptr)();
  }
  /// Sets the function to call when the wait ends, as SetHandler() does.
  void SetWaitHandler(std::function<void()> handler) {
    if (wait_ended_)
      handler();
    else
      wait_handler_ = std::move(handler);
  }

  void ClearHandlers() {
    handler_ = nullptr;
    wait_handler_ = nullptr;
  }

 private:
  bool requested_ = false;
  bool wait_ended_ = false;
  std::function<void()> handler_;
  std::function<void()> wait_handler_;
  std::function<bool()> disconnect_check_;
};

struct RelayCall {
  /// Id chosen by the caller; targets use it to recognise a retry.
  std::string request_id;
  /// Method, path and headers for the target, without the headers that the
  /// system sets itself.
  stream::http::header<true> head;
  stream::BodySource body;
  std::string service;
  std::string route;
  /// See FingerprintOf(); set once the body is held.
  std::string fingerprint;
  /// Empty for a request without a key.
  std::string organisation;
  std::string caller_service;
  wire::Importance importance = wire::IMPORTANCE_NORMAL;
  /// Rank of the route of the caller's request. Orders requests of equal
  /// importance, which the organisation's rank may override.
  std::uint32_t rank = 0;
  /// 1 for a request of a caller; one more for each call that a target makes
  /// for it.
  std::uint32_t depth = 1;
  bool idempotent = false;
  /// The request was already sent to a target.
  bool is_retry = false;
  /// The call belongs to a retried request; counts as a retry at its target.
  bool parent_is_retry = false;
  /// Whether the caller may repeat its request, to which the call belongs, once
  /// it has started.
  admission::RequestKind caller_kind = admission::RequestKind::kRepeatable;
  /// Start of the caller's request to which the call belongs.
  support::TimePoint requested_at;
  /// The caller's deadline or the route's timeout, whichever is earlier.
  support::TimePoint deadline;
  /// Time at which the call is rejected if it is still queued.
  support::TimePoint queue_deadline;
  Cancellation cancellation;

  bool is_head_request() const {
    return head.method() == stream::http::verb::head;
  }
};

inline routing::RetryPriority RetryPriorityOf(const RelayCall& call) {
  return call.caller_kind == admission::RequestKind::kUnrepeatable
             ? routing::RetryPriority::kHigh
             : routing::RetryPriority::kNormal;
}

struct CallResult {
  wire::Outcome outcome = wire::OUTCOME_NOT_RUN;
  /// Head of the target's response, for OUTCOME_OK.
  stream::http::header<false> head;
  stream::BodySource body;
  /// Reason why there is no response, for logs and for the caller.
  std::string reason;
  std::chrono::milliseconds retry_after{0};
  /// Whether the request was sent to a target and so counts as an attempt.
  bool reached_target = false;
  /// The target failed because one of its own calls failed.
  bool downstream_call_failed = false;
  /// Worst outcome among the calls that the target made. For a request that the
  /// target has rejected, kRejectedWithFreeSlots states that it had free slots.
  admission::DownstreamOutcome worst_call_outcome =
      admission::DownstreamOutcome::kServed;
  /// Service without a target in service to which the request or one of its
  /// calls could not be sent; empty if there is none.
  std::string missing_service;
  /// Requests of this kind are rejected because of the calls that they make, so
  /// the other targets of the service would reject them too.
  bool downstream_overloaded = false;
  /// The peer could not be reached or closed the connection without a response.
  bool peer_failed = false;
  std::optional<wire::LoadReport> load;
  /// Must be called once the body has been read; \p complete states whether all
  /// of it was read.
  std::function<void(bool complete)> on_body_end;

  static CallResult NotRun(std::string reason) {
    CallResult result;
    result.reason = std::move(reason);
    return result;
  }
  static CallResult Unknown(std::string reason) {
    CallResult result;
    result.outcome = wire::OUTCOME_UNKNOWN;
    result.reason = std::move(reason);
    result.reached_target = true;
    return result;
  }
};

/// Returns the time until \p when in ms, rounded down; at least 0.
inline std::chrono::milliseconds RemainingTime(support::TimePoint when,
                                               support::TimePoint now) {
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::floor<std::chrono::milliseconds>(when - now));
}

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_CALL_H_
