// A single-threaded model of services that call each other, each target behind
// the admission of its own node, on a manual clock. The same seed gives the
// same run.

#ifndef YUCCASTAIR_RIG_CHAIN_SIMULATION_H_
#define YUCCASTAIR_RIG_CHAIN_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "event_queue.h"
#include "yuccastair/admission/admission.h"
#include "yuccastair/admission/call_throttle.h"

namespace yuccastair::admission {

/// A kind of request. It works on a target of its service, then makes its calls
/// one after the other, and holds its slot until the last one has ended.
struct ChainClass {
  std::string route;
  std::size_t service = 0;
  std::chrono::milliseconds work{0};
  std::chrono::milliseconds objective{0};
  std::chrono::milliseconds deadline{0};
  /// Indexes of the classes that it calls.
  std::vector<std::size_t> calls;
  /// Requests of callers; 0 for a class that is only called.
  double per_second = 0;
  std::uint32_t rank = 0;
};

struct ChainService {
  std::size_t targets = 1;
  std::uint32_t slots = 1;
};

/// What became of the requests of one class that callers sent.
struct ChainTally {
  std::uint64_t sent = 0;
  /// Answered within the deadline.
  std::uint64_t served = 0;
  /// Refused before any target worked on them.
  std::uint64_t refused = 0;
  /// Begun by a target and not answered.
  std::uint64_t failed = 0;
};

class ChainSimulation {
 public:
  using Microseconds = std::chrono::microseconds;

  ChainSimulation(std::vector<ChainClass> classes,
                  const std::vector<ChainService>& services,
                  std::uint64_t seed)
      : classes_(std::move(classes)), tallies_(classes_.size()), random_(seed) {
    for (const ChainService& service : services) {
      std::vector<std::unique_ptr<Target>> targets;
      for (std::size_t i = 0; i < service.targets; ++i) {
        targets.push_back(std::make_unique<Target>(clock_, service.slots));
        targets.back()->throttle.has_target = [this](const std::string& name) {
          return !targets_known_ || HasTarget(std::stoul(name));
        };
      }
      services_.push_back(std::move(targets));
    }
    for (std::size_t i = 0; i < classes_.size(); ++i)
      ScheduleArrival(i);
    Schedule(kTick, [this] { Tick(); });
  }

  /// Leaves \p up targets of the service in use. What runs on the others is
  /// still finished, as by targets that drain.
  void SetTargetsUp(std::size_t service, std::size_t up) {
    for (std::size_t i = 0; i < services_[service].size(); ++i)
      services_[service][i]->up = i < up;
  }

  /// Callers do not learn that a service has no target, as where its targets
  /// are there and refuse.
  void HideTargets() { targets_known_ = false; }

  void RunFor(Microseconds time) { events_.RunFor(time); }

  bool HasTarget(std::size_t service) const {
    const auto& targets = services_[service];
    return std::any_of(targets.begin(), targets.end(),
                       [](const auto& target) { return target->up; });
  }

  void ResetTallies() { tallies_.assign(classes_.size(), {}); }
  const ChainTally& tally(std::size_t index) const { return tallies_[index]; }

 private:
  struct Target {
    Target(const support::Clock& clock, std::uint32_t slots)
        : admission(clock, OptionsFor(slots)), throttle(clock) {
      Admission::Decisions decisions;
      admission.SetTarget(wire::TARGET_STATE_UP, "1", decisions);
    }

    static Options OptionsFor(std::uint32_t slots) {
      Options options;
      options.limit = {slots, slots, slots};
      options.queue.max = std::size_t{4} * slots;
      options.queue.timeout = std::chrono::seconds(10);
      options.new_work_share = 0.15;
      return options;
    }

    Admission admission;
    CallThrottle throttle;
    bool up = true;
  };

  enum class End { kServed, kRefused, kFailed };

  /// One request or call. Ends once.
  struct Work {
    std::size_t index = 0;
    std::uint64_t id = 0;
    Call call;
    std::shared_ptr<Work> parent;
    std::function<void(End)> on_end;
    std::vector<Target*> tried;
    Target* target = nullptr;
    std::size_t calls_made = 0;
    bool running = false;
    bool ended = false;
    DownstreamOutcome calls_end = DownstreamOutcome::kServed;
    // A service without targets to which it has lost a call, or that it is of.
    std::string missing_service;
  };
  using Held = std::shared_ptr<Work>;

  static constexpr std::chrono::milliseconds kTick{10};
  static constexpr std::size_t kMaxPlacements = 3;
  /// Part of the objective that a call may wait for a slot.
  static constexpr int kQueueShare = 4;

  void Schedule(Microseconds in, std::function<void()> action) {
    events_.Schedule(in, std::move(action));
  }

  void Tick() {
    for (auto& targets : services_) {
      for (auto& target : targets) {
        Admission::Decisions decisions;
        target->admission.Tick(decisions);
        Apply(decisions);
      }
    }
    Schedule(kTick, [this] { Tick(); });
  }

  void ScheduleArrival(std::size_t index) {
    const double rate = classes_[index].per_second;
    if (rate <= 0)
      return;
    const double gap = std::exponential_distribution<>(rate)(random_);
    Schedule(Microseconds(static_cast<std::int64_t>(gap * 1e6)), [this, index] {
      ++tallies_[index].sent;
      Begin(index, nullptr, [this, index](End end) {
        ChainTally& tally = tallies_[index];
        ++(end == End::kServed    ? tally.served
           : end == End::kRefused ? tally.refused
                                  : tally.failed);
      });
      ScheduleArrival(index);
    });
  }

  void Begin(std::size_t index,
             const Held& parent,
             std::function<void(End)> on_end) {
    const ChainClass& kind = classes_[index];
    auto work = std::make_shared<Work>();
    work->index = index;
    work->parent = parent;
    work->on_end = std::move(on_end);
    Call& call = work->call;
    call.route = kind.route;
    call.rank = parent ? parent->call.rank : kind.rank;
    call.depth = parent ? parent->call.depth + 1 : 1;
    call.requested_at = parent ? parent->call.requested_at : clock_.Now();
    call.deadline = clock_.Now() + kind.deadline;
    if (parent)
      call.deadline = std::min(call.deadline, parent->call.deadline);
    call.queue_until =
        std::min(call.deadline, clock_.Now() + kind.objective / kQueueShare);
    Place(work);
  }

  /// Offers the work to a target that has not been tried.
  void Place(const Held& work) {
    std::vector<Target*> open;
    for (auto& target : services_[classes_[work->index].service]) {
      if (target->up && std::find(work->tried.begin(), work->tried.end(),
                                  target.get()) == work->tried.end())
        open.push_back(target.get());
    }
    if (open.empty() || work->tried.size() >= kMaxPlacements) {
      const std::size_t service = classes_[work->index].service;
      if (!HasTarget(service))
        work->missing_service = std::to_string(service);
      Finish(work, End::kRefused);
      return;
    }
    work->target = *std::min_element(
        open.begin(), open.end(), [](const Target* a, const Target* b) {
          return a->admission.running() + a->admission.queued() <
                 b->admission.running() + b->admission.queued();
        });
    work->tried.push_back(work->target);
    if (work->call.depth <= 1 && !work->target->throttle.Admit(
                                     work->call.route, work->call.importance)) {
      Finish(work, End::kRefused);
      return;
    }
    work->call.id = next_id_++;
    waiting_[work->call.id] = work;
    Admission::Decisions decisions;
    work->target->admission.Arrive(work->call, decisions);
    Apply(decisions);
  }

  void Apply(const Admission::Decisions& decisions) {
    for (const Decision& decision : decisions) {
      if (decision.verdict == Verdict::kWait)
        continue;
      const auto found = waiting_.find(decision.id);
      const Held work = found->second;
      waiting_.erase(found);
      if (decision.verdict == Verdict::kRun)
        Run(work);
      else if (clock_.Now() < work->call.queue_until)
        Place(work);
      else
        Finish(work, End::kRefused);
    }
  }

  void Run(const Held& work) {
    work->running = true;
    const double factor = std::uniform_real_distribution<>(0.5, 1.5)(random_);
    const Microseconds mean = classes_[work->index].work;
    Schedule(Microseconds(static_cast<std::int64_t>(
                 static_cast<double>(mean.count()) * factor)),
             [this, work] { MakeNextCall(work); });
    Schedule(std::chrono::duration_cast<Microseconds>(work->call.deadline -
                                                      clock_.Now()),
             [this, work] { Finish(work, End::kFailed); });
  }

  void MakeNextCall(const Held& work) {
    if (work->ended)
      return;
    const auto& calls = classes_[work->index].calls;
    if (work->calls_made == calls.size()) {
      Finish(work, End::kServed);
      return;
    }
    Begin(calls[work->calls_made++], work, [this, work](End end) {
      if (work->ended)
        return;
      if (end == End::kServed) {
        MakeNextCall(work);
        return;
      }
      work->calls_end = DownstreamOutcome::kNoCapacity;
      Finish(work, End::kFailed);
    });
  }

  void Finish(const Held& work, End end) {
    if (std::exchange(work->ended, true))
      return;
    if (work->parent && end != End::kServed && !work->missing_service.empty())
      work->parent->missing_service = work->missing_service;
    if (work->running) {
      if (work->call.depth <= 1)
        work->target->throttle.OnRequestEnd(work->call.route, work->calls_end,
                                            work->missing_service);
      if (work->target->admission.queued() > 0)
        work->calls_end =
            std::max(work->calls_end, DownstreamOutcome::kServedAtCapacity);
      if (work->parent)
        work->parent->calls_end =
            std::max(work->parent->calls_end, work->calls_end);
      Admission::Decisions decisions;
      work->target->admission.Finish(work->call.id, ExchangeOutcome::kComplete,
                                     decisions);
      Apply(decisions);
    }
    work->on_end(end);
  }

  EventQueue events_;
  support::ManualClock& clock_ = events_.clock();
  std::vector<ChainClass> classes_;
  std::vector<ChainTally> tallies_;
  std::mt19937_64 random_;
  std::vector<std::vector<std::unique_ptr<Target>>> services_;
  bool targets_known_ = true;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, Held> waiting_;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_RIG_CHAIN_SIMULATION_H_
