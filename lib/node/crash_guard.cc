// Requests permits for suspect requests and reports crashes to the leader.

#include "crash_guard.h"

#include <algorithm>
#include <thread>

#include "call_reply.h"
#include "request_hash.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::node {
namespace {

using claims::FingerprintState;
using std::chrono::milliseconds;

constexpr milliseconds kReplyTimeout{300};
constexpr milliseconds kRetryDelay{15};
constexpr std::uint32_t kRetryAfterMs = 1000;

wire::CrashOperation MakeOperation(
    wire::CrashAction action,
    const CrashGuard::GuardedCall& guarded_call) {
  wire::CrashOperation operation;
  operation.set_action(action);
  operation.set_fingerprint(guarded_call.fingerprint);
  operation.set_attempt_id(guarded_call.permit_id);
  return operation;
}

wire::CallReply BlockedReply() {
  return NotRunReply("crash", "this request has crashed two targets");
}

}  // namespace

void CrashGuard::Apply(const wire::FingerprintUpdate& update) {
  std::lock_guard lock(mutex_);
  fingerprints_.Apply(update);
}

std::uint64_t CrashGuard::list_version() const {
  std::lock_guard lock(mutex_);
  return fingerprints_.version();
}

FingerprintState CrashGuard::Classify(const std::string& fingerprint) const {
  std::lock_guard lock(mutex_);
  return fingerprints_.StateOf(fingerprint);
}

CrashGuard::GuardedCall CrashGuard::Begin(const wire::CallRequest& call,
                                          support::TimePoint deadline) {
  GuardedCall guarded_call;
  guarded_call.fingerprint = RequestFingerprint(call);
  switch (Classify(guarded_call.fingerprint)) {
    case FingerprintState::kClear:
      return guarded_call;
    case FingerprintState::kBlocked:
      guarded_call.rejection = BlockedReply();
      return guarded_call;
    case FingerprintState::kSuspect:
      break;
  }
  guarded_call.permit_id = support::RandomId();
  const auto status =
      Perform(MakeOperation(wire::CRASH_ACTION_PERMIT, guarded_call),
              std::min(deadline, clock_.Now() + kPermitTimeout));
  switch (status) {
    case wire::CRASH_STATUS_PERMITTED:
      break;
    case wire::CRASH_STATUS_CLEAR:
      guarded_call.permit_id.clear();
      break;
    case wire::CRASH_STATUS_BLOCKED:
      guarded_call.rejection = BlockedReply();
      break;
    default:
      guarded_call.rejection =
          NotRunReply("crash",
                      "this request has crashed a target and no permit to "
                      "send it again was obtained");
      guarded_call.rejection->set_retry_after_ms(kRetryAfterMs);
      // The permit may have been granted although the reply was lost.
      if (status == wire::CRASH_STATUS_UNSPECIFIED)
        Perform(MakeOperation(wire::CRASH_ACTION_RETURN, guarded_call),
                clock_.Now() + kReplyTimeout);
      break;
  }
  return guarded_call;
}

void CrashGuard::Finish(const GuardedCall& guarded_call,
                        const wire::CallReply& reply) {
  if (!reply.crashed_target().empty()) {
    {
      // Takes effect on this node before its next sync.
      std::lock_guard lock(mutex_);
      fingerprints_.MarkSuspect(guarded_call.fingerprint);
    }
    wire::CrashOperation report =
        MakeOperation(wire::CRASH_ACTION_REPORT, guarded_call);
    report.set_target(reply.crashed_target());
    if (Perform(report, clock_.Now() + kReportTimeout) ==
        wire::CRASH_STATUS_UNSPECIFIED)
      support::LogWarning("crash.not_reported",
                          {{"target", reply.crashed_target()}});
    return;
  }
  // After an unknown outcome the target may still crash, so the permit is not
  // given back and expires with the fingerprint.
  if (!guarded_call.permit_id.empty() &&
      reply.outcome() != wire::OUTCOME_UNKNOWN)
    Perform(MakeOperation(wire::CRASH_ACTION_RETURN, guarded_call),
            clock_.Now() + kReplyTimeout);
}

wire::CrashStatus CrashGuard::Perform(const wire::CrashOperation& operation,
                                      support::TimePoint until) {
  wire::Envelope request;
  *request.mutable_crash_report()->add_operations() = operation;
  while (true) {
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(until - clock_.Now());
    if (remaining.count() <= 0)
      return wire::CRASH_STATUS_UNSPECIFIED;
    const auto envelope =
        leader_channel_.Exchange(request, std::min(remaining, kReplyTimeout));
    if (envelope && envelope->has_crash_report_reply()) {
      const wire::CrashReportReply& reply = envelope->crash_report_reply();
      if (reply.statuses_size() == 1 &&
          reply.statuses(0) != wire::CRASH_STATUS_UNSPECIFIED)
        return reply.statuses(0);
      leader_channel_.Redirect(reply.leader_address());
    }
    std::this_thread::sleep_for(std::min(remaining, kRetryDelay));
  }
}

}  // namespace yuccastair::node
