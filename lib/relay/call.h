// One request on its way to a target, and what came of it.

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
#include "yuccastair/stream/body_source.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Tells the part that holds a call that its caller has left.
class Cancellation {
 public:
  bool requested() const { return requested_; }

  /// \p probe tells whether the caller has left. Used by Check(), so it stays
  /// valid until the call has ended.
  void SetProbe(std::function<bool()> probe) { probe_ = std::move(probe); }

  /// Asks whether the caller has left. A relay under load may still have to
  /// handle the event that says so when it is about to send the call on.
  bool Check() {
    if (!requested_ && probe_ && probe_())
      Request();
    return requested_;
  }

  void Request() {
    requested_ = true;
    if (hook_)
      std::exchange(hook_, nullptr)();
  }

  /// Calls \p hook on a request, at once if that has been made; replaces an
  /// earlier hook.
  void SetHook(std::function<void()> hook) {
    if (requested_)
      hook();
    else
      hook_ = std::move(hook);
  }
  void ClearHook() { hook_ = nullptr; }

 private:
  bool requested_ = false;
  std::function<void()> hook_;
  std::function<bool()> probe_;
};

struct RelayCall {
  /// Id that the caller chose; targets recognise a repeated request by it.
  std::string request_id;
  /// Method, path and headers for the target. The headers that the system sets
  /// itself are not among them.
  stream::http::header<true> head;
  stream::BodySource body;
  std::string service;
  std::string route;
  /// Empty for a request without a key.
  std::string organisation;
  std::string caller_service;
  wire::Importance importance = wire::IMPORTANCE_NORMAL;
  /// Rank of the route of the caller's request: the order among requests of one
  /// importance, which the organisation's rank may decide.
  std::uint32_t rank = 0;
  /// 1 for a call of a caller; 2 for one that a target makes.
  std::uint32_t depth = 1;
  bool idempotent = false;
  /// A target has been sent this request before.
  bool repeat = false;
  /// The call of a request that runs again; counts as a repeat at its target.
  bool inherited_repeat = false;
  /// When the caller's request began that the call belongs to.
  support::TimePoint requested_at;
  /// When the caller stops waiting or the route's timeout is over.
  support::TimePoint deadline;
  /// Rejected if it still waits for a slot then.
  support::TimePoint queue_until;
  Cancellation cancellation;

  bool is_head() const { return head.method() == stream::http::verb::head; }
};

struct CallResult {
  wire::Outcome outcome = wire::OUTCOME_NOT_RUN;
  /// The target's answer, for OUTCOME_OK.
  stream::http::header<false> head;
  stream::BodySource body;
  /// Why there is no answer, for logs and for the caller.
  std::string reason;
  std::chrono::milliseconds retry_after{0};
  /// Whether the request was sent to a target, so that it counts as an attempt.
  bool reached_target = false;
  /// The target failed because a call that it made had failed.
  bool call_failed = false;
  /// The worst that any call of the target has met.
  admission::DownstreamOutcome calls_end =
      admission::DownstreamOutcome::kServed;
  /// The service without a target in service to which the request, or a call
  /// that it made, could not be sent; empty if there was none.
  std::string missing_service;
  /// Requests of this kind are refused because of the calls that they make, so
  /// other targets of the service would refuse as well.
  bool overloaded_below = false;
  /// The peer could not be reached or broke off without an answer.
  bool peer_silent = false;
  std::optional<wire::LoadReport> load;
  /// To be called when the body has been read, with whether it was complete.
  std::function<void(bool complete)> on_end;

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

/// Returns the time until \p when, rounded down; at least 0.
inline std::chrono::milliseconds TimeLeft(support::TimePoint when,
                                          support::TimePoint now) {
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::floor<std::chrono::milliseconds>(when - now));
}

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_CALL_H_
