// Runs calls on the own target, as admission allows.

#ifndef YUCCASTAIR_LIB_NODE_TARGET_SIDE_H_
#define YUCCASTAIR_LIB_NODE_TARGET_SIDE_H_

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
#include "target_pool.h"
#include "yuccastair/admission/admission.h"
#include "yuccastair/http/client.h"
#include "yuccastair/support/address.h"
#include "yuccastair/support/bounded_ring.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// What the own target has announced about itself.
struct TargetAnnouncement {
  std::string service;
  std::string incarnation;
  support::Address address;
  wire::TargetState state = wire::TARGET_STATE_UP;
};

/// Takes calls from the transport thread, lets the dispatcher thread decide on
/// them, and runs them on worker threads.
///
/// A call that was accepted gets exactly one reply. It is `not_run` only while
/// no connection to the target has been opened for it.
class TargetSide {
 public:
  using Completion = std::function<void(wire::CallReply)>;

  /// The fleet's knowledge of requests that crash targets. Both are called on
  /// worker threads and may be empty.
  struct CrashHooks {
    /// Returns whether a request with this fingerprint must not run.
    std::function<bool(const std::string& fingerprint)> is_known;
    /// Records a fingerprint. The caller is answered when it has returned.
    std::function<void(const std::string& fingerprint)> report;
  };

  TargetSide(std::size_t workers,
             RunningCalls& running,
             admission::Options options = {},
             CrashHooks hooks = {});
  ~TargetSide();

  /// Takes effect for the next decision. The limit is never above the number of
  /// workers.
  void SetOptions(const admission::Options& options);
  /// The availability zone of this node is out of service.
  void SetZoneOut(bool zone_out);

  void Announce(const TargetAnnouncement& announcement);
  std::optional<TargetAnnouncement> announcement() const;

  /// Rejects what is queued, finishes what runs and ends all threads. No
  /// completion runs afterwards.
  void Stop();

  /// Tells other nodes with each reply that this one is leaving; calls are
  /// still taken.
  void ReportLeaving();

  /// Ends new work; calls that were accepted are finished.
  void StartDraining();

  /// Takes a call; \p done is called exactly once, from any thread. A second
  /// copy of a call, or one that was cancelled before it came, is dropped.
  /// \p waited is how long the call may have been in this node's sockets.
  void Submit(wire::CallRequest request,
              Completion done,
              support::Duration waited = {});

  /// Ends a call: rejects it as not run if it is queued, and closes the
  /// target's connection if it runs. \p done is called with `unknown` if no
  /// such call is known here, since an earlier process of this node may have
  /// run it.
  void Cancel(const std::string& attempt_id, const Completion& done);

  /// Calls that were accepted and not answered yet.
  std::size_t running() const { return unanswered_; }

  wire::LoadReport Load() const;

 private:
  struct Job {
    std::uint64_t id = 0;
    wire::CallRequest request;
    Completion done;
    support::TimePoint deadline;
    // Service time of most calls of its route; zero if not known.
    std::chrono::milliseconds usual_latency{};

    std::mutex mutex;
    // Set while the call runs.
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
  struct Finished {
    std::uint64_t id = 0;
    admission::ExchangeOutcome end = admission::ExchangeOutcome::kComplete;
  };
  /// A change of state that applies to the admission.
  struct Change {
    std::function<void(admission::Admission&, admission::Admission::Decisions&)>
        apply;
  };
  using Event = std::variant<Arrival, Cancellation, Finished, Change>;

  struct Ran {
    http::Exchange exchange;
    // A connection to the target was opened for this call.
    bool reached = false;
  };

  // Dispatcher thread.
  void Dispatch();
  void Handle(Arrival& arrival, admission::Admission::Decisions& decisions);
  void Handle(Cancellation& cancellation,
              admission::Admission::Decisions& decisions);
  void Handle(const Finished& finished,
              admission::Admission::Decisions& decisions);
  void Handle(const Change& change, admission::Admission::Decisions& decisions);
  void Apply(const admission::Admission::Decisions& decisions);
  void Forget(std::uint64_t id);

  // Worker threads.
  void Work();
  wire::CallReply Run(Job& job);
  Ran Exchange(Job& job,
               const std::string& token,
               const TargetAnnouncement& target);
  void SendOnce(Job& job,
                const std::string& token,
                const TargetAnnouncement& target,
                bool reuse_connection,
                std::chrono::milliseconds timeout,
                Ran& ran);
  void FreeSlot(const Job& job, admission::ExchangeOutcome end);
  static admission::ExchangeOutcome EndOf(const Ran& ran);
  static wire::CallReply ToReply(const Ran& ran);
  /// Returns whether the target's process is gone, and reports the request.
  bool WatchForCrash(const wire::CallRequest& call,
                     const TargetAnnouncement& target);
  bool TargetIsGone(const TargetAnnouncement& target) const;

  void Push(Change change);
  void Answer(Job& job, wire::CallReply reply);

  RunningCalls& running_;
  const std::uint32_t worker_count_;
  const CrashHooks hooks_;
  const support::SteadyClock clock_{};
  mutable std::mutex mutex_;
  std::optional<TargetAnnouncement> announcement_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> reports_leaving_ = false;
  std::atomic<std::size_t> unanswered_ = 0;
  std::atomic<std::uint64_t> next_id_ = 1;
  wire::LoadReport load_;
  TargetPool pool_;
  support::BoundedRing<Event> events_;
  support::BoundedRing<JobPointer> ready_;

  // Owned by the dispatcher thread.
  admission::Admission admission_;
  std::unordered_map<std::uint64_t, JobPointer> jobs_;
  std::unordered_map<std::string, std::uint64_t> attempts_;
  // Attempts that have ended or were cancelled before they came, oldest first.
  std::deque<std::string> ended_order_;
  std::unordered_set<std::string> ended_;

  std::thread dispatcher_;
  std::vector<std::thread> workers_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_TARGET_SIDE_H_
