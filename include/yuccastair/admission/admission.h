// Decides when calls may run on the own target.

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
#include "yuccastair/admission/start_rate.h"
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
  kStopping,
};

/// Returns the text that replies, logs and decision records carry.
const char* ReasonText(Reason reason);

enum class Verdict { kRun, kWait, kReject };

/// One decision with the numbers it was based on. A rejected call has not run.
struct Decision {
  std::uint64_t id = 0;
  Verdict verdict = Verdict::kReject;
  Reason reason = Reason::kQueueFull;
  std::uint32_t running = 0;
  std::uint32_t limit = 0;
  std::uint32_t queued = 0;
  /// Time to the deadline, and the service time that was expected.
  std::chrono::milliseconds time_left{};
  std::chrono::milliseconds expected{};
  /// The target has no slot and no room in the queue.
  bool overloaded = false;
};

/// How the exchange of a call that was run ended.
enum class ExchangeEnd {
  kComplete,
  /// The target answered that it is overloaded.
  kShed,
  /// The connection broke after the request was sent.
  kBroken,
  /// The target did not accept a connection.
  kRefused,
  kTimedOut,
  /// The node gave up on it; says nothing about the target.
  kCancelled,
};

/// Admission of one target. Not safe for use by several threads.
///
/// Every method appends the decisions that follow from it. A call gets exactly
/// one kRun or kReject, possibly after a kWait, unless Cancel() took it out.
class Admission {
 public:
  using Decisions = std::vector<Decision>;

  Admission(const support::Clock& clock, Options options);

  void SetOptions(const Options& options);

  /// Takes what the target has announced. A new incarnation or the state cold
  /// starts the cold ramp.
  void SetTarget(wire::TargetState state,
                 const std::string& incarnation,
                 Decisions& decisions);

  /// The target is cold until then: calls start at most at the rate
  /// ColdOptions::per_second. A time that has passed ends this.
  void SetColdUntil(support::TimePoint until);

  /// The availability zone of this node is out of service.
  void SetZoneOut(bool zone_out) { zone_out_ = zone_out; }

  /// Rejects every call from now on.
  void Stop(Decisions& decisions);

  void Arrive(const Call& call, Decisions& decisions);

  /// The call \p id, which was running, has ended.
  void Finish(std::uint64_t id, ExchangeEnd end, Decisions& decisions);

  /// Takes a queued call out; returns false if it is not queued.
  bool Cancel(std::uint64_t id) { return queue_.Remove(id).has_value(); }

  /// Rejects calls that have waited too long and starts those for which there
  /// is room. To be called every few milliseconds.
  void Tick(Decisions& decisions);

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  std::size_t queued() const { return queue_.size(); }
  /// The concurrency allowed now, with the cold ramp applied.
  std::uint32_t limit() const;
  bool cold() const { return ramp_.active() || RateBound(); }
  wire::LoadReport Load() const;

  /// The service time of most calls of \p route; zero if none has finished
  /// lately. An older estimate might reject every call that could correct it.
  support::Duration ExpectedServiceTime(const std::string& route) const;

 private:
  struct Running {
    std::string route;
    support::TimePoint started;
    // Whether a caller made the call.
    bool new_work = true;
  };

  // Mean and mean deviation, as TCP estimates round trips.
  struct ServiceTime {
    double mean = 0;
    double deviation = 0;
    support::TimePoint learnt_at;
  };

  Decision Describe(const Call& call, Verdict verdict, Reason reason) const;
  bool RejectState(Reason& reason) const;
  bool Hopeless(const Call& call, Reason& reason) const;
  bool RateBound() const { return clock_.Now() < cold_until_; }
  bool HasRoom();
  std::optional<Call> NextCall();
  void Run(const Call& call, Decisions& decisions);
  void Dispatch(Decisions& decisions);
  void RejectAll(Reason reason, Decisions& decisions);
  void Learn(const std::string& route, support::Duration latency);
  void WatchForCold(ExchangeEnd end);
  void StartRamp(bool suspected);

  const support::Clock& clock_;
  Options options_;
  ConcurrencyLimit limit_;
  ColdRamp ramp_;
  StartRate start_rate_;
  support::TimePoint cold_until_;
  CallQueue queue_;
  std::unordered_map<std::uint64_t, Running> running_;
  // Of running_, the calls that callers made.
  std::uint32_t running_new_ = 0;
  std::unordered_map<std::string, ServiceTime> service_times_;
  wire::TargetState state_ = wire::TARGET_STATE_DOWN;
  std::string incarnation_;
  bool zone_out_ = false;
  bool stopping_ = false;
  // The ramp under way was started by a jump in latency to this value, and
  // ends if latency does not fall with the load. Zero for other ramps.
  support::Duration jump_latency_{};
  std::uint32_t resets_in_a_row_ = 0;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_ADMISSION_H_
