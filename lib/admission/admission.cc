// Combines the limit, the ramp and the queue into admission decisions.

#include "yuccastair/admission/admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace yuccastair::admission {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxTrackedRoutes = 512;
constexpr std::chrono::seconds kServiceTimeValidity{1};
constexpr double kServiceTimeMeanWeight = 1.0 / 8;
constexpr double kServiceTimeDeviationWeight = 1.0 / 4;
// Assumed service time of a cold target before its first call has ended.
constexpr milliseconds kDefaultServiceTime{100};
// Longest time between two calls of Tick(), which starts queued calls.
constexpr milliseconds kTickInterval{10};
// When a process exits, all of its exchanges fail at once; a single exchange
// may fail for an unrelated reason.
constexpr std::uint32_t kFailuresIndicatingRestart = 3;

milliseconds ToMilliseconds(support::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

}  // namespace

const char* ReasonText(Reason reason) {
  switch (reason) {
    case Reason::kAdmitted:
      return "admitted";
    case Reason::kQueued:
      return "queued";
    case Reason::kNoTarget:
      return "no target has announced itself";
    case Reason::kDraining:
      return "the target is draining";
    case Reason::kLeaving:
      return "the target or its node is leaving";
    case Reason::kZoneOut:
      return "the availability zone is out of service";
    case Reason::kDeadlinePassed:
      return "the deadline passed before the target was asked";
    case Reason::kDeadlineUnreachable:
      return "the deadline is shorter than the service time";
    case Reason::kQueueFull:
      return "the queue of the target's node is full";
    case Reason::kDisplaced:
      return "displaced from the queue by another call";
    case Reason::kQueueTimeout:
      return "no slot became free within the queue timeout";
    case Reason::kStartRateExceeded:
      return "the target is cold and can start no more calls in time";
    case Reason::kStopping:
      return "the node is stopping";
  }
  return "";
}

Admission::Admission(const support::Clock& clock, Options options)
    : clock_(clock),
      options_(options),
      limit_(clock, options.limit),
      ramp_(clock, options.cold),
      start_rate_limiter_(options.cold.max_starts_per_second, clock.Now()) {}

void Admission::SetOptions(const Options& options) {
  options_ = options;
  limit_.SetOptions(options.limit);
  ramp_.SetOptions(options.cold);
  start_rate_limiter_.SetRate(options.cold.max_starts_per_second, clock_.Now());
}

void Admission::SetColdUntil(support::TimePoint until) {
  const bool was_rate_bound = IsStartRateBound();
  cold_until_ = until;
  if (!was_rate_bound && IsStartRateBound())
    start_rate_limiter_.Restart(clock_.Now());
}

bool Admission::CanStartCall() {
  if (running() >= limit())
    return false;
  return !HasStartRate() || start_rate_limiter_.HasToken(clock_.Now());
}

// A call that the start rate keeps in the queue until its time is over loses
// the time in which another target could have taken it.
std::size_t Admission::MaxQueueSize(const Call& call) {
  const support::TimePoint now = clock_.Now();
  const support::TimePoint until =
      std::min({call.queue_until, call.deadline, now + options_.queue.timeout});
  if (!HasStartRate() || until >= cold_until_)
    return options_.queue.max;
  const double starts =
      start_rate_limiter_.StartsWithin(now, until - kTickInterval - now);
  return std::min(options_.queue.max, static_cast<std::size_t>(starts));
}

void Admission::SetTarget(wire::TargetState state,
                          const std::string& incarnation,
                          Decisions& decisions) {
  // The first announcement that a node receives may come from a target that is
  // already warm, so a first incarnation does not count as a restart.
  const bool restarted = !incarnation_.empty() && incarnation != incarnation_;
  const bool turned_cold =
      state == wire::TARGET_STATE_COLD && state_ != wire::TARGET_STATE_COLD;
  state_ = state;
  incarnation_ = incarnation;
  if (restarted || (turned_cold && !ramp_.active()))
    StartRamp(false);
  if (state == wire::TARGET_STATE_LEAVING || state == wire::TARGET_STATE_DOWN)
    RejectAll(Reason::kLeaving, decisions);
  Dispatch(decisions);
}

void Admission::Stop(Decisions& decisions) {
  stopping_ = true;
  RejectAll(Reason::kStopping, decisions);
}

std::uint32_t Admission::limit() const {
  return ramp_.Cap(limit_.limit());
}

std::uint32_t Admission::ReportedLimit() const {
  if (!HasStartRate())
    return limit();
  const std::chrono::duration<double> service_time =
      mean_service_time_.count() > 0 ? mean_service_time_ : kDefaultServiceTime;
  const double sustained =
      options_.cold.max_starts_per_second * service_time.count();
  return std::clamp<std::uint32_t>(
      static_cast<std::uint32_t>(std::min(sustained, 1e9)), 1,
      std::max<std::uint32_t>(limit(), 1));
}

wire::LoadReport Admission::Load() const {
  wire::LoadReport load;
  load.set_running(running());
  load.set_queued(static_cast<std::uint32_t>(queue_.size()));
  load.set_limit(ReportedLimit());
  wire::TargetState state = state_;
  if (state == wire::TARGET_STATE_UP && cold())
    state = wire::TARGET_STATE_COLD;
  if (zone_out_ || stopping_)
    state = wire::TARGET_STATE_LEAVING;
  load.set_state(state);
  return load;
}

void Admission::Arrive(const Call& call, Decisions& decisions) {
  Reason reason = Reason::kQueueFull;
  if (IsRejectedByState(reason) || IsRejectedByDeadline(call, reason)) {
    decisions.push_back(MakeDecision(call, Verdict::kReject, reason));
    return;
  }
  ramp_.Advance();
  if (queue_.size() == 0 && CanStartCall()) {
    queue_.Charge(call);
    Run(call, decisions);
    return;
  }
  if (queue_.size() >= MaxQueueSize(call)) {
    const auto displaced = queue_.DisplaceFor(call);
    if (!displaced) {
      decisions.push_back(MakeDecision(call, Verdict::kReject,
                                       queue_.size() < options_.queue.max
                                           ? Reason::kStartRateExceeded
                                           : Reason::kQueueFull));
      return;
    }
    decisions.push_back(
        MakeDecision(*displaced, Verdict::kReject, Reason::kDisplaced));
  }
  queue_.Push(call, clock_.Now());
  decisions.push_back(MakeDecision(call, Verdict::kWait, Reason::kQueued));
  Dispatch(decisions);
}

void Admission::Finish(std::uint64_t id,
                       ExchangeOutcome outcome,
                       Decisions& decisions) {
  const auto found = running_.find(id);
  if (found == running_.end())
    return;
  const Running run = std::move(found->second);
  running_.erase(found);
  running_new_work_ -= run.new_work ? 1 : 0;
  const auto latency = clock_.Now() - run.started;
  if (outcome != ExchangeOutcome::kCancelled) {
    if (outcome == ExchangeOutcome::kComplete)
      RecordServiceTime(run.route, latency);
    DetectRestart(outcome);
    const Sample sample{run.started, latency,
                        outcome != ExchangeOutcome::kComplete,
                        outcome == ExchangeOutcome::kTimedOut};
    if (ramp_.active()) {
      ramp_.OnFinish(sample);
      const auto first = ramp_.first_latency();
      if (jump_latency_.count() > 0 && first.count() > 0) {
        // Latency that stays high at low load is the service time.
        if (first > jump_latency_ / 2) {
          ramp_.End();
          limit_.ResetBaseline(first);
        }
        jump_latency_ = {};
      }
      if (ramp_.active() && ramp_.overload() > 0) {
        // The latency jump was overload rather than a cold start, or the ramp
        // has reached the capacity of the target.
        limit_.Restart(limit() / ramp_.overload(), ramp_.baseline());
        ramp_.End();
      } else if (!ramp_.active()) {
        limit_.RestartWindow();
      }
    } else if (const auto jump = limit_.OnFinish(sample)) {
      jump_latency_ = *jump;
      StartRamp(true);
    }
  }
  Dispatch(decisions);
}

void Admission::Tick(Decisions& decisions) {
  const support::TimePoint now = clock_.Now();
  ramp_.Advance();
  for (const Call& call : queue_.TakeOlderThan(now - options_.queue.timeout))
    decisions.push_back(
        MakeDecision(call, Verdict::kReject, Reason::kQueueTimeout));
  for (const Call& call : queue_.TakeIf(
           [&](const Call& waiting) { return waiting.queue_until <= now; }))
    decisions.push_back(
        MakeDecision(call, Verdict::kReject, Reason::kQueueTimeout));
  const auto passed =
      queue_.TakeIf([&](const Call& call) { return call.deadline <= now; });
  for (const Call& call : passed)
    decisions.push_back(
        MakeDecision(call, Verdict::kReject, Reason::kDeadlinePassed));
  Dispatch(decisions);
}

support::Duration Admission::ExpectedServiceTime(
    const std::string& route) const {
  const auto found = service_times_.find(route);
  if (found == service_times_.end() ||
      clock_.Now() - found->second.updated_at > kServiceTimeValidity)
    return {};
  return support::Duration(static_cast<support::Duration::rep>(
      std::max(0.0, found->second.mean - found->second.deviation)));
}

Decision Admission::MakeDecision(const Call& call,
                                 Verdict verdict,
                                 Reason reason) const {
  Decision decision;
  decision.id = call.id;
  decision.verdict = verdict;
  decision.reason = reason;
  decision.running = running();
  decision.limit = limit();
  decision.queued = static_cast<std::uint32_t>(queue_.size());
  decision.time_left = ToMilliseconds(call.deadline - clock_.Now());
  decision.expected_service_time =
      ToMilliseconds(ExpectedServiceTime(call.route));
  decision.overloaded =
      decision.running >= decision.limit && queue_.size() >= options_.queue.max;
  return decision;
}

bool Admission::IsRejectedByState(Reason& reason) const {
  if (stopping_)
    reason = Reason::kStopping;
  else if (zone_out_)
    reason = Reason::kZoneOut;
  else if (state_ == wire::TARGET_STATE_DRAINING)
    reason = Reason::kDraining;
  else if (state_ == wire::TARGET_STATE_LEAVING)
    reason = Reason::kLeaving;
  else if (state_ != wire::TARGET_STATE_UP && state_ != wire::TARGET_STATE_COLD)
    reason = Reason::kNoTarget;
  else
    return false;
  return true;
}

bool Admission::IsRejectedByDeadline(const Call& call, Reason& reason) const {
  const auto left = call.deadline - clock_.Now();
  if (left.count() <= 0)
    reason = Reason::kDeadlinePassed;
  else if (left < ExpectedServiceTime(call.route))
    reason = Reason::kDeadlineUnreachable;
  else
    return false;
  return true;
}

void Admission::Run(const Call& call, Decisions& decisions) {
  running_[call.id] = Running{call.route, clock_.Now(), call.depth <= 1};
  running_new_work_ += call.depth <= 1 ? 1 : 0;
  if (IsStartRateBound())
    start_rate_limiter_.TakeToken(clock_.Now());
  limit_.OnStart(running());
  decisions.push_back(MakeDecision(call, Verdict::kRun, Reason::kAdmitted));
}

std::optional<Call> Admission::PopNextCall() {
  if (running_new_work_ < options_.new_work_share * limit()) {
    if (auto call = queue_.PopNewWork())
      return call;
  }
  return queue_.Pop();
}

void Admission::Dispatch(Decisions& decisions) {
  while (CanStartCall()) {
    const auto call = PopNextCall();
    if (!call)
      return;
    Reason reason = Reason::kAdmitted;
    if (IsRejectedByDeadline(*call, reason))
      decisions.push_back(MakeDecision(*call, Verdict::kReject, reason));
    else
      Run(*call, decisions);
  }
}

void Admission::RejectAll(Reason reason, Decisions& decisions) {
  for (const Call& call : queue_.TakeIf([](const Call&) { return true; }))
    decisions.push_back(MakeDecision(call, Verdict::kReject, reason));
}

void Admission::RecordServiceTime(const std::string& route,
                                  support::Duration latency) {
  mean_service_time_ =
      mean_service_time_.count() == 0
          ? latency
          : mean_service_time_ +
                std::chrono::duration_cast<support::Duration>(
                    kServiceTimeMeanWeight * (latency - mean_service_time_));
  if (service_times_.size() >= kMaxTrackedRoutes &&
      !service_times_.contains(route))
    return;
  const auto sample = static_cast<double>(latency.count());
  const auto [entry, added] = service_times_.try_emplace(route);
  ServiceTime& time = entry->second;
  time.updated_at = clock_.Now();
  if (added) {
    // Like TCP, starts with half of the first sample as the deviation.
    time.mean = sample;
    time.deviation = sample / 2;
    return;
  }
  time.deviation += kServiceTimeDeviationWeight *
                    (std::abs(sample - time.mean) - time.deviation);
  time.mean += kServiceTimeMeanWeight * (sample - time.mean);
}

void Admission::DetectRestart(ExchangeOutcome outcome) {
  const bool reset = outcome == ExchangeOutcome::kConnectionFailed ||
                     outcome == ExchangeOutcome::kConnectionRefused;
  consecutive_connection_failures_ =
      reset ? consecutive_connection_failures_ + 1 : 0;
  // A refused connection means that no process is listening.
  if (outcome == ExchangeOutcome::kConnectionRefused ||
      consecutive_connection_failures_ >= kFailuresIndicatingRestart) {
    consecutive_connection_failures_ = 0;
    if (!ramp_.active())
      StartRamp(false);
  }
}

void Admission::StartRamp(bool suspected) {
  if (!suspected)
    jump_latency_ = {};
  ramp_.Start(limit_.baseline(), suspected);
}

}  // namespace yuccastair::admission
