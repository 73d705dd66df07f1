// Runs calls on the local target as admission permits.

#ifndef YUCCASTAIR_LIB_NODE_TARGET_EXECUTOR_H_
#define YUCCASTAIR_LIB_NODE_TARGET_EXECUTOR_H_

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "envelope.pb.h"
#include "running_calls.h"
#include "target_connection_pool.h"
#include "yuccastair/admission/admission.h"
#include "yuccastair/http/client.h"
#include "yuccastair/support/address.h"
#include "yuccastair/support/bounded_ring.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// The last announcement of the local target.
struct TargetAnnouncement {
  std::string service;
  std::string incarnation;
  support::Address address;
  wire::TargetState state = wire::TARGET_STATE_UP;
};

/// Accepts calls from the transport thread, passes them to admission on the
/// dispatcher thread, and runs them on worker threads.
///
/// An accepted call gets exactly one reply. The reply is `not_run` only if no
/// connection to the target was opened for the call.
class TargetExecutor {
 public:
  using Completion = std::function<void(wire::CallReply)>;

  /// Access to the fleet's fingerprints of requests that crash targets. Both
  /// functions are called on worker threads and may be empty.
  struct CrashHooks {
    /// Returns whether a request with this fingerprint must not run.
    std::function<bool(const std::string& fingerprint)> is_blocked;
    /// Records a fingerprint. The reply is sent after this returns.
    std::function<void(const std::string& fingerprint)> report_crash;
  };

  TargetExecutor(std::size_t workers,
                 RunningCalls& running_calls,
                 admission::Options options = {},
                 CrashHooks hooks = {});
  ~TargetExecutor();

  /// Sets the options for the following decisions. The limit never exceeds the
  /// number of workers.
  void SetOptions(const admission::Options& options);
  /// Sets whether the availability zone of this node is out of service.
  void SetZoneOut(bool zone_out);

  void Announce(const TargetAnnouncement& announcement);
  std::optional<TargetAnnouncement> announcement() const;

  /// Rejects the queued calls, finishes the running ones and ends all threads.
  /// No completion is called afterwards.
  void Stop();

  /// Reports in each reply that this node is leaving. Calls are still accepted.
  void ReportLeaving();

  /// Rejects new calls. Accepted calls are finished.
  void StartDraining();

  /// Submits a call. \p done is called exactly once, from any thread, unless
  /// the call is dropped as a duplicate or because it was cancelled before it
  /// arrived. \p waited is the time that the call may have spent in this node's
  /// sockets; the deadline is reduced by it.
  void Submit(wire::CallRequest request,
              Completion done,
              support::Duration waited = {});

  /// Cancels a call: rejects it as not run if it is queued, and closes the
  /// connection to the target if it is running. If no such call is known,
  /// \p done is called with `unknown`, because an earlier process of this node
  /// may have run it.
  void Cancel(const std::string& attempt_id, const Completion& done);

  /// Returns the number of accepted calls without a reply.
  std::size_t unreplied_calls() const { return unreplied_calls_; }

  wire::LoadReport Load() const;

 private:
  struct Job {
    std::uint64_t id = 0;
    wire::CallRequest request;
    Completion done;
    support::TimePoint deadline;
    // Expected service time of a call of this route; zero if not known.
    std::chrono::milliseconds expected_latency{};

    std::mutex mutex;
    // Set while the exchange with the target is in progress.
    http::Client* client = nullptr;
    bool cancelled = false;
  };
  using JobPointer = std::shared_ptr<Job>;

  struct Arrival {
    JobPointer job;
  };
  struct Cancellation {
    std::string attempt_id;
    Completion done;
  };
  struct JobFinished {
    std::uint64_t id = 0;
    admission::ExchangeOutcome end = admission::ExchangeOutcome::kComplete;
  };
  /// A change to the state of the admission.
  struct AdmissionChange {
    std::function<void(admission::Admission&, admission::Admission::Decisions&)>
        apply;
  };
  using Event =
      std::variant<Arrival, Cancellation, JobFinished, AdmissionChange>;

  struct RunResult {
    http::Exchange exchange;
    // A connection to the target was opened for this call.
    bool reached_target = false;
  };

  // Dispatcher thread.
  void RunDispatcher();
  void Handle(Arrival& arrival, admission::Admission::Decisions& decisions);
  void Handle(Cancellation& cancellation,
              admission::Admission::Decisions& decisions);
  void Handle(const JobFinished& finished,
              admission::Admission::Decisions& decisions);
  void Handle(const AdmissionChange& change,
              admission::Admission::Decisions& decisions);
  void Apply(const admission::Admission::Decisions& decisions);
  void RemoveJob(std::uint64_t id);

  // Worker threads.
  void RunWorker();
  wire::CallReply RunJob(Job& job);
  RunResult ExchangeWithTarget(Job& job,
                               const std::string& token,
                               const TargetAnnouncement& target);
  void SendOnce(Job& job,
                const std::string& token,
                const TargetAnnouncement& target,
                bool reuse_connection,
                std::chrono::milliseconds timeout,
                RunResult& result);
  void ReleaseSlot(const Job& job, admission::ExchangeOutcome end);
  static admission::ExchangeOutcome ToExchangeEnd(const RunResult& result);
  static wire::CallReply ToReply(const RunResult& result);
  /// Returns whether the target's process has stopped, and reports the request
  /// if it has.
  bool DetectCrash(const wire::CallRequest& call,
                   const TargetAnnouncement& target);
  bool HasTargetStopped(const TargetAnnouncement& target) const;

  void PushChange(AdmissionChange change);
  void Complete(Job& job, wire::CallReply reply);

  RunningCalls& running_calls_;
  const std::uint32_t worker_count_;
  const CrashHooks hooks_;
  const support::SteadyClock clock_{};
  mutable std::mutex mutex_;
  std::optional<TargetAnnouncement> announcement_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> reports_leaving_ = false;
  std::atomic<std::size_t> unreplied_calls_ = 0;
  std::atomic<std::uint64_t> next_id_ = 1;
  wire::LoadReport load_;
  TargetConnectionPool pool_;
  support::BoundedRing<Event> events_;
  support::BoundedRing<JobPointer> ready_jobs_;

  // Owned by the dispatcher thread.
  admission::Admission admission_;
  std::unordered_map<std::uint64_t, JobPointer> jobs_;
  std::unordered_map<std::string, std::uint64_t> job_ids_by_attempt_;
  // Attempts that have ended or were cancelled before they arrived, oldest
  // first.
  std::deque<std::string> ended_attempts_order_;
  std::unordered_set<std::string> ended_attempts_;

  std::thread dispatcher_;
  std::vector<std::thread> workers_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_TARGET_EXECUTOR_H_
