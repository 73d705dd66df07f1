// Decides which calls the local target runs, and when.

#ifndef YUCCASTAIR_ADMISSION_ADMISSION_H_
#define YUCCASTAIR_ADMISSION_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "call.pb.h"
#include "yuccastair/admission/call_queue.h"
#include "yuccastair/admission/cold_ramp.h"
#include "yuccastair/admission/concurrency_limit.h"
#include "yuccastair/admission/options.h"
#include "yuccastair/admission/start_rate_limiter.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::admission {

enum class Reason {
  kAdmitted,
  kQueued,
  kNoTarget,
  kDraining,
  kLeaving,
  kZoneOut,
  kDeadlinePassed,
  kDeadlineUnreachable,
  kQueueFull,
  kDisplaced,
  kQueueTimeout,
  kStartRateExceeded,
  kStopping,
};

/// Returns the text of \p reason as used in replies, logs and decision records.
const char* ReasonText(Reason reason);

enum class Verdict { kRun, kWait, kReject };

/// One decision and the values on which it is based. A rejected call has not
/// run.
struct Decision {
  std::uint64_t id = 0;
  Verdict verdict = Verdict::kReject;
  Reason reason = Reason::kQueueFull;
  std::uint32_t running = 0;
  std::uint32_t limit = 0;
  std::uint32_t queued = 0;
  /// Time to the deadline, and the expected service time of the route.
  std::chrono::milliseconds time_left{};
  std::chrono::milliseconds expected_service_time{};
  /// No slot is free and the queue is full.
  bool overloaded = false;
};

/// The outcome of the exchange with the target for a call that was run.
enum class ExchangeOutcome {
  kComplete,
  /// The target responded that it is overloaded.
  kShed,
  /// The connection failed after the request was sent.
  kConnectionFailed,
  /// The target did not accept the connection.
  kConnectionRefused,
  kTimedOut,
  /// The node cancelled the exchange; this is no evidence about the target.
  kCancelled,
};

/// Admission control of one target. Not thread-safe.
///
/// Every method appends the decisions that it causes. A call gets exactly one
/// kRun or kReject, possibly after a kWait, unless Cancel() removes it.
class Admission {
 public:
  using Decisions = std::vector<Decision>;

  Admission(const support::Clock& clock, Options options);

  void SetOptions(const Options& options);

  /// Applies an announcement of the target. A new incarnation or the state cold
  /// starts the cold ramp.
  void SetTarget(wire::TargetState state,
                 const std::string& incarnation,
                 Decisions& decisions);

  /// Treats the target as cold until \p until: calls start at most at the rate
  /// ColdOptions::max_starts_per_second. A time in the past ends the cold
  /// phase.
  void SetColdUntil(support::TimePoint until);

  /// Sets whether the availability zone of this node is out of service.
  void SetZoneOut(bool zone_out) { zone_out_ = zone_out; }

  /// Rejects all queued calls and every call that arrives afterwards.
  void Stop(Decisions& decisions);

  /// Runs, queues or rejects a new call.
  void Arrive(const Call& call, Decisions& decisions);

  /// Ends the running call \p id. An unknown id has no effect.
  void Finish(std::uint64_t id, ExchangeOutcome outcome, Decisions& decisions);

  /// Removes a queued call; returns false if it is not queued.
  bool Cancel(std::uint64_t id) { return queue_.Remove(id).has_value(); }

  /// Rejects calls that have waited too long and starts queued calls while
  /// slots are free. The owner calls it every few milliseconds.
  void Tick(Decisions& decisions);

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  std::size_t queued() const { return queue_.size(); }
  /// The current concurrency limit, including the cap of the cold ramp.
  std::uint32_t limit() const;
  bool cold() const { return ramp_.active() || IsStartRateBound(); }
  /// Returns the load that other nodes base their choice of a target on. While
  /// the start rate binds, the reported limit is the concurrency that this rate
  /// sustains, so that a cold target counts as full once it runs that many
  /// calls.
  wire::LoadReport Load() const;

  /// Returns a service time that most calls of \p route reach or exceed; zero
  /// if none has finished recently. A stale estimate could reject every call
  /// that would correct it.
  support::Duration ExpectedServiceTime(const std::string& route) const;

 private:
  struct Running {
    std::string route;
    support::TimePoint started;
    // Whether the call is a caller's request rather than work in progress.
    bool new_work = true;
  };

  // Smoothed mean and mean deviation in clock ticks, as in TCP's estimate of
  // the round-trip time.
  struct ServiceTime {
    double mean = 0;
    double deviation = 0;
    support::TimePoint updated_at;
  };

  Decision MakeDecision(const Call& call, Verdict verdict, Reason reason) const;
  bool IsRejectedByState(Reason& reason) const;
  bool IsRejectedByDeadline(const Call& call, Reason& reason) const;
  bool IsStartRateBound() const { return clock_.Now() < cold_until_; }
  bool HasStartRate() const {
    return IsStartRateBound() && options_.cold.max_starts_per_second > 0;
  }
  std::uint32_t ReportedLimit() const;
  /// Returns the number of queued calls at which \p call is not queued.
  std::size_t MaxQueueSize(const Call& call);
  bool CanStartCall();
  std::optional<Call> PopNextCall();
  void Run(const Call& call, Decisions& decisions);
  void Dispatch(Decisions& decisions);
  void RejectAll(Reason reason, Decisions& decisions);
  void RecordServiceTime(const std::string& route, support::Duration latency);
  void DetectRestart(ExchangeOutcome outcome);
  void StartRamp(bool suspected);

  const support::Clock& clock_;
  Options options_;
  ConcurrencyLimit limit_;
  ColdRamp ramp_;
  StartRateLimiter start_rate_limiter_;
  support::TimePoint cold_until_;
  CallQueue queue_;
  std::unordered_map<std::uint64_t, Running> running_;
  // Number of running calls that are callers' requests.
  std::uint32_t running_new_work_ = 0;
  std::unordered_map<std::string, ServiceTime> service_times_;
  // Smoothed mean over the calls of all routes; zero before the first one ends.
  support::Duration mean_service_time_{};
  wire::TargetState state_ = wire::TARGET_STATE_DOWN;
  std::string incarnation_;
  bool zone_out_ = false;
  bool stopping_ = false;
  // Latency of the jump that started the current ramp, which ends if latency
  // does not fall with the load. Zero if the ramp has another cause.
  support::Duration jump_latency_{};
  std::uint32_t consecutive_connection_failures_ = 0;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_ADMISSION_H_
