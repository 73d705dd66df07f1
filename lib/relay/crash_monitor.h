// Finds the requests that end the processes of targets.

#ifndef YUCCASTAIR_LIB_RELAY_CRASH_MONITOR_H_
#define YUCCASTAIR_LIB_RELAY_CRASH_MONITOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "call.h"
#include "claims.pb.h"
#include "recent_fingerprints.h"
#include "yuccastair/claims/fingerprint_table.h"
#include "yuccastair/claims/fingerprint_view.h"
#include "yuccastair/observe/metrics.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Reason for which a request is refused that has ended targets.
inline constexpr const char* kCrashingRequest =
    "this request has ended the targets that ran it";

/// Returns the fingerprint of \p call: a hash of organisation, method, host,
/// path and the beginning of the body. Equal at all relays.
std::string FingerprintOf(const RelayCall& call);

/// Decides which requests end the processes of targets, and shares that with
/// the fleet by way of the control processes.
///
/// When a process of the local target has ended, each request that it ran is a
/// suspect, unless the same request has recently ended with an answer. A run
/// with an answer, anywhere in the fleet, clears it. A request is blocked once
/// enough processes have ended under it without such a run. Without control
/// processes, a relay goes by the processes of its own target.
///
/// Limitation: copies that run at the same time may each end a target before
/// the request is blocked. Not thread-safe.
class CrashMonitor {
 public:
  static constexpr std::uint32_t kDefaultCrashesToBlock = 3;
  /// Time after the last crash of a local suspect for which it is kept.
  static constexpr std::chrono::minutes kRetention =
      claims::FingerprintTable::kDefaultRetention;
  /// A run that broke this long before the end of its process was noticed is
  /// not related to it.
  static constexpr std::chrono::seconds kMaxNoticeTime{10};
  static constexpr std::size_t kMaxBrokenRuns = 1024;
  /// Suspects of which the local target's processes are kept; the oldest is
  /// dropped first.
  static constexpr std::size_t kMaxLocalSuspects = 1024;
  static constexpr std::size_t kMaxPendingOperations = 1024;
  static constexpr std::size_t kMaxOperationsPerReport = 64;
  static constexpr std::chrono::milliseconds kReportTimeout{400};

  CrashMonitor(const support::Clock& clock, observe::Metrics& metrics)
      : clock_(clock), metrics_(metrics), recent_runs_(clock) {}

  void SetCrashesToBlock(std::uint32_t crashes) { crashes_to_block_ = crashes; }

  /// A run of the request, on any target, has ended with an answer.
  void OnAnswered(const std::string& fingerprint);
  /// The connection on which \p process of the local target ran \p call has
  /// ended without an answer.
  void OnBroken(const RelayCall& call, const std::string& process);
  /// \p process has ended although it had not announced that it would.
  /// \p evidence names how that was noticed, for the log.
  void OnProcessEnded(const std::string& process, const char* evidence);

  bool IsBlocked(const std::string& fingerprint);
  /// Whether a process has ended under the request, here or elsewhere.
  bool IsSuspect(const std::string& fingerprint);

  /// Applies the list of a sync reply.
  void Apply(const wire::FingerprintUpdate& update);
  std::uint64_t list_version() const { return fleet_view_.version(); }

  /// Returns the next report to the leader; nothing if there is none or if the
  /// last one may still be answered.
  std::optional<wire::CrashReport> TakeReport();
  void OnReply(const wire::CrashReportReply& reply);

 private:
  struct BrokenRun {
    std::string fingerprint;
    std::string process;
    std::string route;
    std::string path;
    support::TimePoint at;
  };
  struct LocalSuspect {
    std::string fingerprint;
    std::set<std::string> processes;
    support::TimePoint last_crash;
  };
  using SuspectList = std::list<LocalSuspect>;

  void RecordCrash(const BrokenRun& run);
  void Enqueue(wire::CrashAction action,
               const std::string& fingerprint,
               const std::string& process);
  void ExpireLocalSuspect(const std::string& fingerprint);
  void ForgetLocalSuspect(const std::string& fingerprint);
  void ClearIfKnown(const std::string& fingerprint);

  const support::Clock& clock_;
  observe::Metrics& metrics_;
  std::uint32_t crashes_to_block_ = kDefaultCrashesToBlock;
  RecentFingerprints recent_runs_;
  claims::FingerprintView fleet_view_;
  // Runs of the local target that broke, oldest first.
  std::deque<BrokenRun> broken_runs_;
  // Its last process that has ended. Runs on it may be noticed later.
  std::string ended_process_;
  // Oldest first.
  SuspectList local_suspects_;
  std::unordered_map<std::string, SuspectList::iterator>
      suspects_by_fingerprint_;
  // Operations that the leader has not confirmed, oldest first.
  std::deque<wire::CrashOperation> pending_;
  // The first of them, as many as the last report has carried; 0 if it has been
  // answered.
  std::size_t reported_ = 0;
  support::TimePoint reported_at_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_CRASH_MONITOR_H_
