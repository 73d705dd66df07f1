// The dispatcher thread of the target side.

#include "target_side.h"

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

// Arrivals beyond this are rejected; the rest of the ring is kept for what must
// not be lost.
constexpr std::size_t kMaxWaitingArrivals = 4096;
constexpr std::size_t kReservedEvents = 4096;
constexpr milliseconds kTick{5};
constexpr milliseconds kIdleTick{100};
// About the time in which a queue of the default size is worked off.
constexpr milliseconds kRetryAfter{200};
// Attempts remembered as ended: some seconds of calls at 2,000 calls/s.
constexpr std::size_t kMaxEnded = 16384;

wire::CallReply Rejection(const Decision& decision) {
  wire::CallReply reply =
      NotRun("admission", admission::ReasonText(decision.reason));
  reply.set_retry_after_ms(static_cast<std::uint32_t>(kRetryAfter.count()));
  if (decision.reason == admission::Reason::kDeadlinePassed ||
      decision.reason == admission::Reason::kDeadlineUnreachable)
    reply.set_status(504);
  return reply;
}

}  // namespace

TargetSide::TargetSide(std::size_t workers,
                       RunningCalls& running,
                       admission::Options options,
                       CrashHooks hooks)
    : running_(running),
      worker_count_(static_cast<std::uint32_t>(workers)),
      hooks_(std::move(hooks)),
      events_(kMaxWaitingArrivals + kReservedEvents),
      ready_(workers),
      admission_(clock_, options) {
  options.limit.max = std::min(options.limit.max, worker_count_);
  admission_.SetOptions(options);
  load_ = admission_.Load();
  dispatcher_ = std::thread([this] { Dispatch(); });
  workers_.reserve(workers);
  for (std::size_t i = 0; i < workers; ++i)
    workers_.emplace_back([this] { Work(); });
}

TargetSide::~TargetSide() {
  Stop();
}

void TargetSide::Stop() {
  if (workers_.empty())
    return;
  StartDraining();
  Push({[](Admission& admission, Admission::Decisions& decisions) {
    admission.Stop(decisions);
  }});
  // Workers report what they have finished until they end, and the dispatcher
  // hands out nothing new.
  while (unanswered_ > 0)
    std::this_thread::sleep_for(kTick);
  events_.Close();
  dispatcher_.join();
  ready_.Close();
  for (std::thread& worker : workers_)
    worker.join();
  workers_.clear();
}

void TargetSide::SetOptions(const admission::Options& options) {
  admission::Options bounded = options;
  bounded.limit.max = std::min(bounded.limit.max, worker_count_);
  Push({[bounded](Admission& admission, Admission::Decisions&) {
    admission.SetOptions(bounded);
  }});
}

void TargetSide::SetZoneOut(bool zone_out) {
  Push({[zone_out](Admission& admission, Admission::Decisions&) {
    admission.SetZoneOut(zone_out);
  }});
}

void TargetSide::Announce(const TargetAnnouncement& announcement) {
  {
    std::lock_guard lock(mutex_);
    announcement_ = announcement;
  }
  Push({[announcement](Admission& admission, Admission::Decisions& decisions) {
    admission.SetTarget(announcement.state, announcement.incarnation,
                        decisions);
  }});
}

std::optional<TargetAnnouncement> TargetSide::announcement() const {
  std::lock_guard lock(mutex_);
  return announcement_;
}

void TargetSide::ReportLeaving() {
  reports_leaving_ = true;
}

void TargetSide::StartDraining() {
  reports_leaving_ = true;
  draining_ = true;
}

void TargetSide::Push(Change change) {
  if (!events_.TryPush(std::move(change)))
    support::LogError("target_side.change_lost");
}

void TargetSide::Submit(wire::CallRequest request,
                        Completion done,
                        support::Duration waited) {
  auto job = std::make_shared<Job>();
  job->id = next_id_++;
  job->deadline = clock_.Now() + milliseconds(request.deadline_ms()) - waited;
  job->request = std::move(request);
  job->done = std::move(done);
  ++unanswered_;
  const char* reason = nullptr;
  if (draining_)
    reason = "the node is leaving";
  else if (events_.size() >= kMaxWaitingArrivals ||
           !events_.TryPush(Arrival{job}))
    reason = "the target's node is overloaded";
  if (reason != nullptr)
    Answer(*job, NotRun("admission", reason));
}

void TargetSide::Cancel(const std::string& attempt_id, const Completion& done) {
  if (events_.size() >= kMaxWaitingArrivals + kReservedEvents / 2 ||
      !events_.TryPush(Cancellation{attempt_id, done}))
    done(Unknown("cancel", "the target's node is overloaded"));
}

wire::LoadReport TargetSide::Load() const {
  wire::LoadReport load;
  {
    std::lock_guard lock(mutex_);
    load = load_;
  }
  if (reports_leaving_)
    load.set_state(wire::TARGET_STATE_LEAVING);
  return load;
}

void TargetSide::Answer(Job& job, wire::CallReply reply) {
  reply.set_attempt_id(job.request.attempt_id());
  *reply.mutable_load() = Load();
  job.done(std::move(reply));
  --unanswered_;
}

void TargetSide::Dispatch() {
  auto next_tick = clock_.Now() + kTick;
  while (true) {
    auto event = events_.Pop(admission_.queued() > 0 ? kTick : kIdleTick);
    if (!event && events_.closed())
      return;
    Admission::Decisions decisions;
    if (event)
      std::visit([&](auto& item) { Handle(item, decisions); }, *event);
    if (clock_.Now() >= next_tick) {
      admission_.Tick(decisions);
      next_tick = clock_.Now() + kTick;
    }
    {
      std::lock_guard lock(mutex_);
      load_ = admission_.Load();
    }
    Apply(decisions);
  }
}

void TargetSide::Handle(Arrival& arrival, Admission::Decisions& decisions) {
  const wire::CallRequest& request = arrival.job->request;
  if (ended_.contains(request.attempt_id()) ||
      attempts_.contains(request.attempt_id())) {
    // Another answer could overtake that of the first copy.
    --unanswered_;
    return;
  }
  admission::Call call;
  call.id = arrival.job->id;
  call.organisation = request.organisation();
  call.route = request.route();
  call.importance = request.importance();
  call.depth = request.depth();
  call.deadline = arrival.job->deadline;
  attempts_.emplace(request.attempt_id(), call.id);
  jobs_.emplace(call.id, std::move(arrival.job));
  admission_.Arrive(call, decisions);
}

void TargetSide::Handle(Cancellation& cancellation, Admission::Decisions&) {
  const auto found = attempts_.find(cancellation.attempt_id);
  if (found == attempts_.end()) {
    if (ended_.contains(cancellation.attempt_id))
      return;  // Its reply is on the way.
    ended_.insert(cancellation.attempt_id);
    ended_order_.push_back(cancellation.attempt_id);
    cancellation.done(Unknown("cancel", "no such call is known here"));
    return;
  }
  const std::uint64_t id = found->second;
  const JobPointer job = jobs_.at(id);
  if (admission_.Cancel(id)) {
    Forget(id);
    Answer(*job, NotRun("cancel", "cancelled while it was queued"));
    return;
  }
  std::lock_guard lock(job->mutex);
  job->cancelled = true;
  if (job->client != nullptr)
    job->client->Cancel();
}

void TargetSide::Handle(const Finished& finished,
                        Admission::Decisions& decisions) {
  admission_.Finish(finished.id, finished.end, decisions);
  Forget(finished.id);
}

void TargetSide::Handle(const Change& change, Admission::Decisions& decisions) {
  change.apply(admission_, decisions);
}

void TargetSide::Apply(const Admission::Decisions& decisions) {
  for (const Decision& decision : decisions) {
    if (decision.verdict == Verdict::kWait)
      continue;
    const JobPointer job = jobs_.at(decision.id);
    if (decision.verdict == Verdict::kRun) {
      job->usual_latency = decision.expected_service_time;
      // Never full: it has a place for each call that the limit allows.
      ready_.TryPush(JobPointer(job));
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
    Forget(decision.id);
    Answer(*job, Rejection(decision));
  }
}

void TargetSide::Forget(std::uint64_t id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end())
    return;
  const std::string& attempt_id = found->second->request.attempt_id();
  attempts_.erase(attempt_id);
  ended_.insert(attempt_id);
  ended_order_.push_back(attempt_id);
  jobs_.erase(found);
  while (ended_order_.size() > kMaxEnded) {
    ended_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
}

}  // namespace yuccastair::node
