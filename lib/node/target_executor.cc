// The dispatcher thread, which passes calls through admission.

#include "target_executor.h"

#include <algorithm>
#include <utility>

#include "call_reply.h"
#include "yuccastair/support/log.h"

namespace yuccastair::node {
namespace {

using admission::Admission;
using admission::Decision;
using admission::Verdict;
using std::chrono::milliseconds;

// Arrivals beyond this bound are rejected. The rest of the ring is reserved for
// events that must not be lost.
constexpr std::size_t kMaxWaitingArrivals = 4096;
constexpr std::size_t kReservedEventSlots = 4096;
constexpr milliseconds kTickInterval{5};
constexpr milliseconds kIdleTickInterval{100};
// Approximately the time to process a queue of the default size.
constexpr milliseconds kRetryAfter{200};
// Number of ended attempts to remember: some seconds at 2,000 calls/s.
constexpr std::size_t kMaxEndedAttempts = 16384;

wire::CallReply RejectionReply(const Decision& decision) {
  wire::CallReply reply =
      NotRunReply("admission", admission::ReasonText(decision.reason));
  reply.set_retry_after_ms(static_cast<std::uint32_t>(kRetryAfter.count()));
  if (decision.reason == admission::Reason::kDeadlinePassed ||
      decision.reason == admission::Reason::kDeadlineUnreachable)
    reply.set_status(504);
  return reply;
}

}  // namespace

TargetExecutor::TargetExecutor(std::size_t workers,
                               RunningCalls& running_calls,
                               admission::Options options,
                               CrashHooks hooks)
    : running_calls_(running_calls),
      worker_count_(static_cast<std::uint32_t>(workers)),
      hooks_(std::move(hooks)),
      events_(kMaxWaitingArrivals + kReservedEventSlots),
      ready_jobs_(workers),
      admission_(clock_, options) {
  options.limit.max = std::min(options.limit.max, worker_count_);
  admission_.SetOptions(options);
  load_ = admission_.Load();
  dispatcher_ = std::thread([this] { RunDispatcher(); });
  workers_.reserve(workers);
  for (std::size_t i = 0; i < workers; ++i)
    workers_.emplace_back([this] { RunWorker(); });
}

TargetExecutor::~TargetExecutor() {
  Stop();
}

void TargetExecutor::Stop() {
  if (workers_.empty())
    return;
  StartDraining();
  PushChange({[](Admission& admission, Admission::Decisions& decisions) {
    admission.Stop(decisions);
  }});
  // Workers report finished calls until they end, so the dispatcher must run
  // until no call is left. It starts no new calls.
  while (unreplied_calls_ > 0)
    std::this_thread::sleep_for(kTickInterval);
  events_.Close();
  dispatcher_.join();
  ready_jobs_.Close();
  for (std::thread& worker : workers_)
    worker.join();
  workers_.clear();
}

void TargetExecutor::SetOptions(const admission::Options& options) {
  admission::Options bounded = options;
  bounded.limit.max = std::min(bounded.limit.max, worker_count_);
  PushChange({[bounded](Admission& admission, Admission::Decisions&) {
    admission.SetOptions(bounded);
  }});
}

void TargetExecutor::SetZoneOut(bool zone_out) {
  PushChange({[zone_out](Admission& admission, Admission::Decisions&) {
    admission.SetZoneOut(zone_out);
  }});
}

void TargetExecutor::Announce(const TargetAnnouncement& announcement) {
  {
    std::lock_guard lock(mutex_);
    announcement_ = announcement;
  }
  PushChange(
      {[announcement](Admission& admission, Admission::Decisions& decisions) {
        admission.SetTarget(announcement.state, announcement.incarnation,
                            decisions);
      }});
}

std::optional<TargetAnnouncement> TargetExecutor::announcement() const {
  std::lock_guard lock(mutex_);
  return announcement_;
}

void TargetExecutor::ReportLeaving() {
  reports_leaving_ = true;
}

void TargetExecutor::StartDraining() {
  reports_leaving_ = true;
  draining_ = true;
}

void TargetExecutor::PushChange(AdmissionChange change) {
  if (!events_.TryPush(std::move(change)))
    support::LogError("target_side.change_lost");
}

void TargetExecutor::Submit(wire::CallRequest request,
                            Completion done,
                            support::Duration waited) {
  auto job = std::make_shared<Job>();
  job->id = next_id_++;
  job->deadline = clock_.Now() + milliseconds(request.deadline_ms()) - waited;
  job->request = std::move(request);
  job->done = std::move(done);
  ++unreplied_calls_;
  const char* reason = nullptr;
  if (draining_)
    reason = "the node is leaving";
  else if (events_.size() >= kMaxWaitingArrivals ||
           !events_.TryPush(Arrival{job}))
    reason = "the target's node is overloaded";
  if (reason != nullptr)
    Complete(*job, NotRunReply("admission", reason));
}

void TargetExecutor::Cancel(const std::string& attempt_id,
                            const Completion& done) {
  if (events_.size() >= kMaxWaitingArrivals + kReservedEventSlots / 2 ||
      !events_.TryPush(Cancellation{attempt_id, done}))
    done(UnknownReply("cancel", "the target's node is overloaded"));
}

wire::LoadReport TargetExecutor::Load() const {
  wire::LoadReport load;
  {
    std::lock_guard lock(mutex_);
    load = load_;
  }
  if (reports_leaving_)
    load.set_state(wire::TARGET_STATE_LEAVING);
  return load;
}

void TargetExecutor::Complete(Job& job, wire::CallReply reply) {
  reply.set_attempt_id(job.request.attempt_id());
  *reply.mutable_load() = Load();
  job.done(std::move(reply));
  --unreplied_calls_;
}

void TargetExecutor::RunDispatcher() {
  auto next_tick = clock_.Now() + kTickInterval;
  while (true) {
    auto event = events_.Pop(admission_.queued() > 0 ? kTickInterval
                                                     : kIdleTickInterval);
    if (!event && events_.closed())
      return;
    Admission::Decisions decisions;
    if (event)
      std::visit([&](auto& item) { Handle(item, decisions); }, *event);
    if (clock_.Now() >= next_tick) {
      admission_.Tick(decisions);
      next_tick = clock_.Now() + kTickInterval;
    }
    {
      std::lock_guard lock(mutex_);
      load_ = admission_.Load();
    }
    Apply(decisions);
  }
}

void TargetExecutor::Handle(Arrival& arrival, Admission::Decisions& decisions) {
  const wire::CallRequest& request = arrival.job->request;
  if (ended_attempts_.contains(request.attempt_id()) ||
      job_ids_by_attempt_.contains(request.attempt_id())) {
    // A reply to this copy could overtake the reply to the first one.
    --unreplied_calls_;
    return;
  }
  admission::Call call;
  call.id = arrival.job->id;
  call.organisation = request.organisation();
  call.route = request.route();
  call.importance = request.importance();
  call.depth = request.depth();
  call.deadline = arrival.job->deadline;
  job_ids_by_attempt_.emplace(request.attempt_id(), call.id);
  jobs_.emplace(call.id, std::move(arrival.job));
  admission_.Arrive(call, decisions);
}

void TargetExecutor::Handle(Cancellation& cancellation, Admission::Decisions&) {
  const auto found = job_ids_by_attempt_.find(cancellation.attempt_id);
  if (found == job_ids_by_attempt_.end()) {
    if (ended_attempts_.contains(cancellation.attempt_id))
      return;  // The call's reply is being sent.
    ended_attempts_.insert(cancellation.attempt_id);
    ended_attempts_order_.push_back(cancellation.attempt_id);
    cancellation.done(
        UnknownReply("cancel", "the call is not known on this node"));
    return;
  }
  const std::uint64_t id = found->second;
  const JobPointer job = jobs_.at(id);
  if (admission_.Cancel(id)) {
    RemoveJob(id);
    Complete(*job, NotRunReply("cancel", "cancelled while it was queued"));
    return;
  }
  std::lock_guard lock(job->mutex);
  job->cancelled = true;
  if (job->client != nullptr)
    job->client->Cancel();
}

void TargetExecutor::Handle(const JobFinished& finished,
                            Admission::Decisions& decisions) {
  admission_.Finish(finished.id, finished.end, decisions);
  RemoveJob(finished.id);
}

void TargetExecutor::Handle(const AdmissionChange& change,
                            Admission::Decisions& decisions) {
  change.apply(admission_, decisions);
}

void TargetExecutor::Apply(const Admission::Decisions& decisions) {
  for (const Decision& decision : decisions) {
    if (decision.verdict == Verdict::kWait)
      continue;
    const JobPointer job = jobs_.at(decision.id);
    if (decision.verdict == Verdict::kRun) {
      job->expected_latency = decision.expected_service_time;
      // Never full: its capacity is the number of workers, which bounds the
      // limit.
      ready_jobs_.TryPush(JobPointer(job));
      continue;
    }
    support::LogDebug(
        "admission.rejected",
        {{"reason", admission::ReasonText(decision.reason)},
         {"running", decision.running},
         {"limit", decision.limit},
         {"queued", decision.queued},
         {"time_left_ms", decision.time_left.count()},
         {"expected_ms", decision.expected_service_time.count()}});
    RemoveJob(decision.id);
    Complete(*job, RejectionReply(decision));
  }
}

void TargetExecutor::RemoveJob(std::uint64_t id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end())
    return;
  const std::string& attempt_id = found->second->request.attempt_id();
  job_ids_by_attempt_.erase(attempt_id);
  ended_attempts_.insert(attempt_id);
  ended_attempts_order_.push_back(attempt_id);
  jobs_.erase(found);
  while (ended_attempts_order_.size() > kMaxEndedAttempts) {
    ended_attempts_.erase(ended_attempts_order_.front());
    ended_attempts_order_.pop_front();
  }
}

}  // namespace yuccastair::node
