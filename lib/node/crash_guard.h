// Prevents requests that crash targets from reaching further targets.

#ifndef YUCCASTAIR_LIB_NODE_CRASH_GUARD_H_
#define YUCCASTAIR_LIB_NODE_CRASH_GUARD_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "envelope.pb.h"
#include "leader_channel.h"
#include "yuccastair/claims/fingerprint_view.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// Holds the suspect and blocked fingerprints, requests permits and reports
/// crashes. Safe for use by several threads.
///
/// Limitation: a request may crash one further target for each copy that is in
/// flight when the first target crashes, and for each copy that a node sends
/// before its first sync after the report, at most one sync interval later.
class CrashGuard {
 public:
  struct GuardedCall {
    /// Set if the request must not be sent.
    std::optional<wire::CallReply> rejection;
    std::string fingerprint;
    /// The permit to send the request to one target; empty if the request is
    /// not suspect.
    std::string permit_id;
  };

  explicit CrashGuard(LeaderChannel& leader_channel)
      : leader_channel_(leader_channel) {}

  /// Applies the fingerprint list of a sync reply.
  void Apply(const wire::FingerprintUpdate& update);
  std::uint64_t list_version() const;

  /// Decides whether \p call may be sent.
  GuardedCall Begin(const wire::CallRequest& call, support::TimePoint deadline);

  /// Reports a crash, or gives back a permit that is no longer needed. Waits
  /// until the report is committed, at most kReportTimeout.
  void Finish(const GuardedCall& guarded_call, const wire::CallReply& reply);

  static constexpr std::chrono::milliseconds kReportTimeout{5000};
  static constexpr std::chrono::milliseconds kPermitTimeout{500};

 private:
  claims::FingerprintState Classify(const std::string& fingerprint) const;
  /// Retries an operation until it is committed or \p until has passed.
  wire::CrashStatus Perform(const wire::CrashOperation& operation,
                            support::TimePoint until);

  LeaderChannel& leader_channel_;
  const support::SteadyClock clock_{};
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  claims::FingerprintView fingerprints_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_CRASH_GUARD_H_
