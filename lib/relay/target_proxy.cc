// Admits calls to the local target.

#include "target_proxy.h"

#include <algorithm>
#include <utility>

#include "request_gate.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

using admission::ExchangeOutcome;
using std::chrono::milliseconds;
using stream::Task;

// Share of the announced slots that is used. Targets slow down when they are
// nearly full, and health checks and new connections also take slots.
constexpr double kUsableSlotShare = 0.94;
constexpr std::uint32_t kDefaultSlots = 16;
// Share of the slots that is reserved for requests of callers, ahead of calls
// of other targets. A service that is called four times for each request of
// another one gets about a tenth of its load from its own callers.
constexpr double kCallerSlotShare = 0.15;
// Maximum number of queued calls per slot. The time limit of each call bounds
// the queue as well, so this only limits memory.
constexpr std::size_t kMaxQueuedCallsPerSlot = 4;
constexpr milliseconds kMaxQueueTime{10000};
// No ramp: a cold start is limited only by its rate.
constexpr milliseconds kColdRampTime{1};
constexpr std::size_t kMaxIdleConnections = 512;

admission::Options InitialOptions() {
  admission::Options options;
  options.limit = {kDefaultSlots, kDefaultSlots, kDefaultSlots};
  options.queue.timeout = kMaxQueueTime;
  return options;
}

}  // namespace

TargetProxy::TargetProxy(stream::asio::io_context& context,
                         const support::Clock& clock,
                         const HeaderNames& names,
                         milliseconds drain_time,
                         observe::Metrics& metrics)
    : context_(context),
      clock_(clock),
      names_(names),
      metrics_(metrics),
      tracker_(clock, drain_time),
      admission_(clock, InitialOptions()),
      throttle_(clock),
      pool_(context,
            {.connect_timeout = kConnectTimeout,
             .max_idle = kDefaultMaxIdleTime,
             .max_idle_per_address = kMaxIdleConnections}),
      crash_monitor_(clock, metrics) {}

admission::Options TargetProxy::AdmissionOptions() const {
  admission::Options options = InitialOptions();
  std::uint32_t slots = kDefaultSlots;
  if (const Announcement* announced = tracker_.latest_announcement();
      announced != nullptr && announced->slots > 0)
    slots = announced->slots;
  const auto limit = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(kUsableSlotShare * slots));
  // The target reports its concurrency, so the limit is not adapted, and a cold
  // start is limited by its rate.
  options.limit = {limit, limit, limit};
  options.queue.max = kMaxQueuedCallsPerSlot * slots;
  options.new_work_share = kCallerSlotShare;
  options.cold.initial_limit = limit;
  options.cold.ramp = kColdRampTime;
  options.cold.max_starts_per_second = cold_per_second_;
  return options;
}

void TargetProxy::ApplyState() {
  admission_.SetOptions(AdmissionOptions());
  admission_.SetColdUntil(tracker_.ColdUntil());
  admission::Admission::Decisions decisions;
  const bool open = tracker_.AcceptsRequests();
  admission_.SetTarget(open ? wire::TARGET_STATE_UP : tracker_.State(),
                       tracker_.Incarnation(), decisions);
  DeliverDecisions(decisions);
  const wire::TargetState state = State();
  if (std::exchange(reported_state_, state) != state) {
    support::LogInfo(
        "target.state_changed",
        {{"state", wire::TargetState_Name(state)},
         {"incarnation", tracker_.Incarnation()},
         {"cold_ms",
          RemainingTime(tracker_.ColdUntil(), clock_.Now()).count()}});
    if (on_state_changed)
      on_state_changed();
  }
}

void TargetProxy::OnAnnouncement(const Announcement& announcement,
                                 support::Duration age) {
  const Announcement* known = tracker_.latest_announcement();
  const bool was_ready =
      known != nullptr && known->state == AnnouncedState::kReady;
  const std::string process = tracker_.Incarnation();
  const auto change = tracker_.Apply(announcement, age);
  if (change == TargetTracker::AnnouncementEffect::kIgnored) {
    support::LogInfo(
        "target.announcement_ignored",
        {{"target", announcement.target_id},
         {"deregistered", announcement.state == AnnouncedState::kDeregistered},
         {"sequence", announcement.sequence},
         {"started_ms", announcement.started_ms}});
    // The control processes remember it for this relay.
    if (announcement.state == AnnouncedState::kDeregistered && on_state_changed)
      on_state_changed();
    return;
  }
  if (change == TargetTracker::AnnouncementEffect::kRestarted) {
    pool_.Drop(announcement.address);
    if (was_ready)
      crash_monitor_.OnProcessEnded(process, "a new process");
  }
  ApplyState();
}

void TargetProxy::SetServicePolicy(const wire::PolicyService* service) {
  cold_per_second_ = service != nullptr ? service->cold_per_second() : 0;
  cold_duration_ = milliseconds(service != nullptr ? service->cold_ms() : 0);
  health_path_ = service != nullptr ? service->health_path() : "";
  ApplyState();
}

wire::TargetState TargetProxy::State() const {
  const wire::TargetState state = tracker_.State();
  const bool leaving = state == wire::TARGET_STATE_DRAINING ||
                       state == wire::TARGET_STATE_LEAVING;
  const bool retiring = leaving || zone_use_ == membership::ZoneUse::kRetiring;
  return retiring && AcceptsCalls() ? wire::TARGET_STATE_RETIRING : state;
}

void TargetProxy::SetZoneUse(membership::ZoneUse use) {
  if (zone_use_ == use)
    return;
  zone_use_ = use;
  admission_.SetZoneOut(use == membership::ZoneUse::kOut);
  if (use == membership::ZoneUse::kInService) {
    // Nothing has been sent to the target that would have shown it.
    tracker_.AssumeCold(cold_duration_);
    StartColdCheck();
  }
  ApplyState();
}

void TargetProxy::Tick() {
  ApplyState();
  admission::Admission::Decisions decisions;
  admission_.Tick(decisions);
  DeliverDecisions(decisions);
}

wire::LoadReport TargetProxy::Load() const {
  wire::LoadReport load = admission_.Load();
  const wire::TargetState state = State();
  if (load.state() == wire::TARGET_STATE_UP ||
      (load.state() == wire::TARGET_STATE_COLD &&
       state == wire::TARGET_STATE_RETIRING))
    load.set_state(state);
  return load;
}

void TargetProxy::DeliverDecisions(
    const admission::Admission::Decisions& decisions) {
  for (const admission::Decision& decision : decisions) {
    if (decision.verdict == admission::Verdict::kWait)
      continue;
    const auto found = pending_admissions_.find(decision.id);
    if (found == pending_admissions_.end())
      continue;
    found->second->decision = decision;
    found->second->decision_timer.cancel();
  }
}

Task<admission::Decision> TargetProxy::AwaitAdmission(RelayCall& call,
                                                      std::uint64_t id) {
  auto waiting = std::make_shared<PendingAdmission>(context_);
  pending_admissions_[id] = waiting;
  admission::Call arrival;
  arrival.id = id;
  arrival.organisation = call.organisation;
  arrival.route = call.route;
  arrival.importance = call.importance;
  arrival.rank = call.rank;
  arrival.depth = call.depth;
  arrival.requested_at = call.requested_at;
  arrival.deadline = call.deadline;
  arrival.queue_until = call.queue_deadline;
  admission::Admission::Decisions decisions;
  admission_.Arrive(arrival, decisions);
  DeliverDecisions(decisions);
  if (!waiting->decision && !call.cancellation.requested() &&
      !call.cancellation.wait_ended()) {
    const auto end_wait = [waiting] { waiting->decision_timer.cancel(); };
    call.cancellation.SetHandler(end_wait);
    call.cancellation.SetWaitHandler(end_wait);
    co_await waiting->decision_timer.async_wait(stream::kAsTuple);
    call.cancellation.ClearHandlers();
  }
  pending_admissions_.erase(id);
  if (waiting->decision)
    co_return *waiting->decision;
  admission_.Cancel(id);
  admission::Decision unadmitted;
  unadmitted.id = id;
  unadmitted.reason = call.cancellation.requested()
                          ? admission::Reason::kDeadlinePassed
                          : admission::Reason::kStopping;
  co_return unadmitted;
}

CallResult TargetProxy::RejectedResult(
    const RelayCall& call,
    const admission::Decision& decision) const {
  CallResult rejection =
      CallResult::NotRun(decision.reason == admission::Reason::kStopping
                             ? kRelayIsStopping
                             : admission::ReasonText(decision.reason));
  rejection.retry_after = kDefaultRetryAfter;
  rejection.load = Load();
  metrics_.Count("yuccastair_target_refusals_total",
                 {{"reason", rejection.reason}});
  support::LogDebug("target.refused", {{"request", call.request_id},
                                       {"reason", rejection.reason},
                                       {"running", decision.running},
                                       {"limit", decision.limit},
                                       {"queued", decision.queued}});
  return rejection;
}

/// Returns the reason for which requests of \p route are throttled. Each begins
/// with the same words, which tools look for.
std::string TargetProxy::ThrottleReason(const std::string& route) const {
  std::string reason = "calls of such requests are turned away";
  const auto cause = throttle_.ReductionCause(route);
  if (cause == admission::DownstreamOutcome::kNoCapacity)
    reason += " for lack of capacity";
  else if (cause == admission::DownstreamOutcome::kRejectedWithFreeSlots)
    reason += " by targets with free slots";
  return reason;
}

CallResult TargetProxy::ThrottledResult(const RelayCall& call) const {
  const std::string missing = throttle_.MissingService(call.route);
  CallResult rejection = CallResult::NotRun(
      missing.empty() ? ThrottleReason(call.route)
                      : "a service that such requests call has no target in "
                        "service");
  rejection.missing_service = missing;
  rejection.downstream_overloaded = true;
  rejection.retry_after = kDefaultRetryAfter;
  rejection.load = Load();
  metrics_.Count("yuccastair_target_refusals_total",
                 {{"reason", rejection.reason}});
  support::LogDebug("target.held_back",
                    {{"request", call.request_id},
                     {"route", call.route},
                     {"share", throttle_.AdmittedShare(call.route)}});
  return rejection;
}

Task<CallResult> TargetProxy::Run(RelayCall& call) {
  if (call.fingerprint.empty())
    call.fingerprint = FingerprintOf(call);
  if (crash_monitor_.IsBlocked(call.fingerprint))
    co_return CallResult::NotRun(kCrashingRequest);
  // Calls of running requests are not throttled: their work is under way.
  if (call.depth <= 1 && !throttle_.Admit(call.route, call.importance))
    co_return ThrottledResult(call);
  const std::uint64_t id = next_id_++;
  const admission::Decision decision = co_await AwaitAdmission(call, id);
  if (decision.verdict != admission::Verdict::kRun)
    co_return RejectedResult(call, decision);
  co_return co_await RunAdmitted(call, id);
}

/// Returns whether the retry budget allows the call, and charges it.
bool TargetProxy::ChargeRetryBudget(const RelayCall& call) {
  if (call.is_retry)
    return retry_budget_.TakeRetry(RetryPriorityOf(call));
  if (call.parent_is_retry)
    retry_budget_.OnCallOfRetry();
  else
    retry_budget_.OnFirstAttempt();
  return true;
}

Task<CallResult> TargetProxy::RunAdmitted(RelayCall& call, std::uint64_t id) {
  ExchangeOutcome end = ExchangeOutcome::kCancelled;
  CallResult result;
  if (call.cancellation.CheckCaller()) {
    result = CallResult::NotRun("the caller has left");
  } else if (!ChargeRetryBudget(call)) {
    result = CallResult::NotRun("too many requests are repeated");
  } else {
    auto running = std::make_shared<RunningRequest>(
        RunningRequest{.id = call.request_id,
                       .route = call.route,
                       .deadline = call.deadline,
                       .requested_at = call.requested_at,
                       .importance = call.importance,
                       .rank = call.rank,
                       .depth = call.depth,
                       .caller_kind = call.caller_kind,
                       .is_retry = call.is_retry || call.parent_is_retry});
    running_requests_.Add(running);
    if (State() == wire::TARGET_STATE_RETIRING)
      metrics_.Count("yuccastair_retiring_calls_total", {});
    result = co_await ExchangeWithTarget(call, end);
    running_requests_.Remove(running);
    result.downstream_call_failed = running->downstream_call_failed;
    result.missing_service = running->missing_service;
    result.worst_call_outcome =
        std::max(result.worst_call_outcome, running->worst_call_outcome);
    if (call.depth <= 1 && !call.cancellation.requested()) {
      throttle_.OnRequestEnd(call.route, running->worst_call_outcome,
                             running->missing_service, call.caller_kind);
      RecordAdmittedShare(call.route);
    }
  }
  if (result.on_body_end) {
    // The slot stays in use until the last byte of the body.
    result.on_body_end = [this, id,
                          release = std::move(result.on_body_end)](bool whole) {
      release(whole);
      FinishCall(
          id, whole ? ExchangeOutcome::kComplete : ExchangeOutcome::kCancelled);
    };
  } else {
    FinishCall(id, end);
  }
  result.load = Load();
  co_return result;
}

/// Logs when throttling of a route begins, when it is suspended, and when it
/// ends.
void TargetProxy::RecordAdmittedShare(const std::string& route) {
  const auto held = throttled_since_.find(route);
  const double share = throttle_.AdmittedShare(route);
  if (share < 1 && held == throttled_since_.end()) {
    throttled_since_.emplace(route, clock_.Now());
    support::LogInfo("throttle.reduced", {{"route", route},
                                          {"share", share},
                                          {"reason", ThrottleReason(route)}});
  } else if (share >= 1 && held != throttled_since_.end()) {
    const auto lasted =
        std::chrono::duration_cast<milliseconds>(clock_.Now() - held->second);
    support::LogInfo("throttle.whole",
                     {{"route", route}, {"after_ms", lasted.count()}});
    metrics_.Observe("yuccastair_throttle_seconds", {{"route", route}}, lasted);
    throttled_since_.erase(held);
  }
  if (!throttle_.IsSuspended(route)) {
    suspended_routes_.erase(route);
  } else if (suspended_routes_.insert(route).second) {
    support::LogInfo("throttle.suspended", {{"route", route}});
    metrics_.Count("yuccastair_throttle_suspensions_total", {{"route", route}});
  }
}

void TargetProxy::FinishCall(std::uint64_t id, ExchangeOutcome end) {
  admission::Admission::Decisions decisions;
  admission_.Finish(id, end, decisions);
  DeliverDecisions(decisions);
}

}  // namespace yuccastair::relay
