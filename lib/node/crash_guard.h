// Keeps requests that crash targets from reaching more of them.

#ifndef YUCCASTAIR_LIB_NODE_CRASH_GUARD_H_
#define YUCCASTAIR_LIB_NODE_CRASH_GUARD_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>

#include "envelope.pb.h"
#include "leader_channel.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// Knows suspect and blocked fingerprints, asks for permits and reports
/// crashes. Safe for use by several threads.
///
/// What remains open: sendings that are under way when the first target
/// crashes, and those of nodes that have not synced since the report, at most
/// one sync interval, each may crash one more target.
class CrashGuard {
 public:
  struct Sending {
    /// Set where the request must not be sent.
    std::optional<wire::CallReply> refusal;
    std::string fingerprint;
    /// The permit under which the request goes to one target; empty if it is
    /// not suspect.
    std::string permit;
  };

  explicit CrashGuard(LeaderChannel& leader) : leader_(leader) {}

  /// Applies the list in a sync reply.
  void Apply(const wire::FingerprintUpdate& update);
  std::uint64_t version() const;

  /// Decides whether \p call may be sent.
  Sending Begin(const wire::CallRequest& call, support::TimePoint deadline);

  /// Reports a crash, and returns a permit that is no longer needed. Returns
  /// after the report is committed, or kReportWait later.
  void Finish(const Sending& sending, const wire::CallReply& reply);

  static constexpr std::chrono::milliseconds kReportWait{5000};
  static constexpr std::chrono::milliseconds kPermitWait{500};

 private:
  enum class Verdict { kClear, kSuspect, kBlocked };

  Verdict VerdictOn(const std::string& fingerprint) const;
  /// Repeats an operation until it is committed or \p until has come.
  wire::CrashStatus Perform(const wire::CrashOperation& operation,
                            support::TimePoint until);

  LeaderChannel& leader_;
  const support::SteadyClock clock_{};
  mutable std::mutex mutex_;
  // Guarded by mutex_; no fingerprint is in both sets.
  std::uint64_t version_ = 0;
  std::unordered_set<std::string> suspects_;
  std::unordered_set<std::string> blocked_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_CRASH_GUARD_H_
