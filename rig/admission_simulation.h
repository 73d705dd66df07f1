// A single-threaded loop of callers, admission and a model target on a manual
// clock. The same seed gives the same run.

#ifndef YUCCASTAIR_RIG_ADMISSION_SIMULATION_H_
#define YUCCASTAIR_RIG_ADMISSION_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "event_queue.h"
#include "yuccastair/admission/admission.h"

namespace yuccastair::admission {

/// A stream of calls of one organisation and importance with random gaps.
struct Stream {
  std::string organisation;
  wire::Importance importance = wire::IMPORTANCE_NORMAL;
  double calls_per_second = 0;
  std::uint32_t depth = 1;
};

/// What became of the calls of one stream.
struct Tally {
  std::uint64_t sent = 0;
  /// Finished within the deadline.
  std::uint64_t good = 0;
  std::uint64_t rejected = 0;
};

class Simulation {
 public:
  using Microseconds = std::chrono::microseconds;

  struct Target {
    // Calls served at once; more wait in the target.
    std::uint32_t slots = 50;
    Microseconds service_time{20000};
    // While cold, more calls at once than this break the target: it makes no
    // progress with calls that started beyond the bound.
    std::uint32_t cold_slots = 1000000;
  };

  explicit Simulation(Options options, std::uint64_t seed = 1)
      : admission_(clock_, options), random_(seed) {
    Admission::Decisions decisions;
    admission_.SetTarget(wire::TARGET_STATE_UP, "1", decisions);
    Schedule(Microseconds(0), [this] { Tick(); });
  }

  Target& target() { return target_; }
  Admission& admission() { return admission_; }
  support::ManualClock& clock() { return clock_; }
  std::uint32_t peak_at_target() const { return peak_; }
  void ResetPeak() { peak_ = 0; }

  /// Replaces the streams and starts new tallies.
  void SetStreams(std::vector<Stream> streams) {
    streams_ = std::move(streams);
    tallies_.assign(streams_.size(), {});
    ++generation_;
    for (std::size_t i = 0; i < streams_.size(); ++i)
      ScheduleArrival(i);
  }

  void ResetTallies() { tallies_.assign(streams_.size(), {}); }
  const Tally& tally(std::size_t stream) const { return tallies_[stream]; }
  std::uint64_t TotalGood() const {
    std::uint64_t good = 0;
    for (const Tally& tally : tallies_)
      good += tally.good;
    return good;
  }
  /// Calls that the target could finish in \p time at best.
  double BestPossible(Microseconds time) const {
    return static_cast<double>(target_.slots) *
           static_cast<double>(time.count()) /
           static_cast<double>(target_.service_time.count());
  }

  void RunFor(Microseconds time) { events_.RunFor(time); }

  /// The target's process ends: what runs there breaks.
  void Crash() {
    Admission::Decisions decisions;
    const auto served = std::move(served_);
    served_.clear();
    waiting_.clear();
    for (const std::uint64_t id : served) {
      End(id, false);
      admission_.Finish(id, ExchangeOutcome::kConnectionFailed, decisions);
    }
    Apply(decisions);
  }

  void Apply(const Admission::Decisions& decisions) {
    for (const Decision& decision : decisions) {
      if (decision.verdict == Verdict::kRun)
        Start(decision.id);
      if (decision.verdict == Verdict::kReject)
        End(decision.id, false);
    }
  }

 private:
  struct Pending {
    std::size_t stream = 0;
    std::uint64_t generation = 0;
    support::TimePoint deadline;
  };

  static constexpr std::chrono::milliseconds kDeadline{500};

  void Schedule(Microseconds in, std::function<void()> action) {
    events_.Schedule(in, std::move(action));
  }

  void Tick() {
    Admission::Decisions decisions;
    admission_.Tick(decisions);
    Apply(decisions);
    Schedule(std::chrono::milliseconds(5), [this] { Tick(); });
  }

  void ScheduleArrival(std::size_t stream) {
    const double rate = streams_[stream].calls_per_second;
    if (rate <= 0)
      return;
    const double gap = std::exponential_distribution<>(rate)(random_);
    Schedule(Microseconds(static_cast<std::int64_t>(gap * 1e6)),
             [this, stream, generation = generation_] {
               if (generation != generation_)
                 return;
               Arrive(stream);
               ScheduleArrival(stream);
             });
  }

  void Arrive(std::size_t stream) {
    Call call;
    call.id = next_id_++;
    call.organisation = streams_[stream].organisation;
    call.route = "route";
    call.importance = streams_[stream].importance;
    call.depth = streams_[stream].depth;
    call.deadline = clock_.Now() + kDeadline;
    pending_[call.id] = {stream, generation_, call.deadline};
    ++tallies_[stream].sent;
    Admission::Decisions decisions;
    admission_.Arrive(call, decisions);
    Apply(decisions);
  }

  void Start(std::uint64_t id) {
    waiting_.push_back(id);
    served_.insert(id);
    Schedule(std::chrono::duration_cast<Microseconds>(pending_.at(id).deadline -
                                                      clock_.Now()),
             [this, id] { Leave(id, ExchangeOutcome::kTimedOut); });
    peak_ = std::max(peak_, static_cast<std::uint32_t>(served_.size()));
    Serve();
  }

  void Serve() {
    while (!waiting_.empty() && busy_ < target_.slots) {
      const std::uint64_t id = waiting_.front();
      waiting_.pop_front();
      if (!served_.contains(id))
        continue;
      ++busy_;
      double factor = std::uniform_real_distribution<>(0.5, 1.5)(random_);
      // A cold target under too much load works so slowly that callers give up.
      if (served_.size() > target_.cold_slots)
        factor *= 20;
      const auto time = static_cast<std::int64_t>(
          static_cast<double>(target_.service_time.count()) * factor);
      Schedule(Microseconds(time), [this, id] {
        --busy_;
        Leave(id, ExchangeOutcome::kComplete);
        Serve();
      });
    }
  }

  void Leave(std::uint64_t id, ExchangeOutcome end) {
    if (served_.erase(id) == 0)
      return;
    End(id, end == ExchangeOutcome::kComplete);
    Admission::Decisions decisions;
    admission_.Finish(id, end, decisions);
    Apply(decisions);
  }

  void End(std::uint64_t id, bool complete) {
    const Pending pending = pending_.at(id);
    pending_.erase(id);
    if (pending.generation != generation_)
      return;
    Tally& tally = tallies_[pending.stream];
    if (!complete)
      ++tally.rejected;
    else if (clock_.Now() <= pending.deadline)
      ++tally.good;
  }

  EventQueue events_;
  support::ManualClock& clock_ = events_.clock();
  Admission admission_;
  std::mt19937_64 random_;
  Target target_;
  std::vector<Stream> streams_;
  std::vector<Tally> tallies_;
  std::uint64_t generation_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint32_t busy_ = 0;
  std::uint32_t peak_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  // Calls at the target.
  std::set<std::uint64_t> served_;
  std::deque<std::uint64_t> waiting_;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_RIG_ADMISSION_SIMULATION_H_
