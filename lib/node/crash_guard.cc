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

using std::chrono::milliseconds;

constexpr milliseconds kAnswerWait{300};
constexpr milliseconds kRetryPause{15};
constexpr std::uint32_t kRetryAfterMs = 1000;

wire::CrashOperation NewOperation(wire::CrashAction action,
                                  const CrashGuard::Sending& sending) {
  wire::CrashOperation operation;
  operation.set_action(action);
  operation.set_fingerprint(sending.fingerprint);
  operation.set_attempt_id(sending.permit);
  return operation;
}

wire::CallReply Blocked() {
  return NotRun("crash", "this request has crashed two targets");
}

}  // namespace

void CrashGuard::Apply(const wire::FingerprintUpdate& update) {
  std::lock_guard lock(mutex_);
  // A stale list of a control process that lags must not lift a block.
  if (update.version() <= version_)
    return;
  if (update.full()) {
    suspects_.clear();
    blocked_.clear();
  }
  for (const std::string& fingerprint : update.removed()) {
    suspects_.erase(fingerprint);
    blocked_.erase(fingerprint);
  }
  for (const std::string& fingerprint : update.suspects()) {
    blocked_.erase(fingerprint);
    suspects_.insert(fingerprint);
  }
  for (const std::string& fingerprint : update.blocked()) {
    suspects_.erase(fingerprint);
    blocked_.insert(fingerprint);
  }
  version_ = update.version();
}

std::uint64_t CrashGuard::version() const {
  std::lock_guard lock(mutex_);
  return version_;
}

CrashGuard::Verdict CrashGuard::VerdictOn(
    const std::string& fingerprint) const {
  std::lock_guard lock(mutex_);
  if (blocked_.count(fingerprint) != 0)
    return Verdict::kBlocked;
  return suspects_.count(fingerprint) != 0 ? Verdict::kSuspect
                                           : Verdict::kClear;
}

CrashGuard::Sending CrashGuard::Begin(const wire::CallRequest& call,
                                      support::TimePoint deadline) {
  Sending sending;
  sending.fingerprint = Fingerprint(call);
  switch (VerdictOn(sending.fingerprint)) {
    case Verdict::kClear:
      return sending;
    case Verdict::kBlocked:
      sending.refusal = Blocked();
      return sending;
    case Verdict::kSuspect:
      break;
  }
  sending.permit = support::RandomId();
  const auto status = Perform(NewOperation(wire::CRASH_ACTION_PERMIT, sending),
                              std::min(deadline, clock_.Now() + kPermitWait));
  switch (status) {
    case wire::CRASH_STATUS_PERMITTED:
      break;
    case wire::CRASH_STATUS_CLEAR:
      sending.permit.clear();
      break;
    case wire::CRASH_STATUS_BLOCKED:
      sending.refusal = Blocked();
      break;
    default:
      sending.refusal =
          NotRun("crash",
                 "this request has crashed a target and no permit to "
                 "send it again was obtained");
      sending.refusal->set_retry_after_ms(kRetryAfterMs);
      // The permit may have been granted although the reply was lost.
      if (status == wire::CRASH_STATUS_UNSPECIFIED)
        Perform(NewOperation(wire::CRASH_ACTION_RETURN, sending),
                clock_.Now() + kAnswerWait);
      break;
  }
  return sending;
}

void CrashGuard::Finish(const Sending& sending, const wire::CallReply& reply) {
  if (!reply.crashed_target().empty()) {
    {
      // Takes effect on this node before its next sync.
      std::lock_guard lock(mutex_);
      if (blocked_.count(sending.fingerprint) == 0)
        suspects_.insert(sending.fingerprint);
    }
    wire::CrashOperation report =
        NewOperation(wire::CRASH_ACTION_REPORT, sending);
    report.set_target(reply.crashed_target());
    if (Perform(report, clock_.Now() + kReportWait) ==
        wire::CRASH_STATUS_UNSPECIFIED)
      support::LogWarning("crash.not_reported",
                          {{"target", reply.crashed_target()}});
    return;
  }
  // After an unknown outcome the target may still crash, so the permit is not
  // given back and expires with the fingerprint.
  if (!sending.permit.empty() && reply.outcome() != wire::OUTCOME_UNKNOWN)
    Perform(NewOperation(wire::CRASH_ACTION_RETURN, sending),
            clock_.Now() + kAnswerWait);
}

wire::CrashStatus CrashGuard::Perform(const wire::CrashOperation& operation,
                                      support::TimePoint until) {
  wire::Envelope request;
  *request.mutable_crash_report()->mutable_operation() = operation;
  while (true) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - clock_.Now());
    if (left.count() <= 0)
      return wire::CRASH_STATUS_UNSPECIFIED;
    const auto answer = leader_.Exchange(request, std::min(left, kAnswerWait));
    if (answer && answer->has_crash_report_reply()) {
      const wire::CrashReportReply& reply = answer->crash_report_reply();
      if (reply.status() != wire::CRASH_STATUS_UNSPECIFIED)
        return reply.status();
      leader_.Redirect(reply.leader_address());
    }
    std::this_thread::sleep_for(std::min(left, kRetryPause));
  }
}

}  // namespace yuccastair::node
