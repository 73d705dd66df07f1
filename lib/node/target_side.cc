// Worker threads that carry calls to the own target.

#include "target_side.h"

#include <utility>

#include "call_reply.h"
#include "process_probe.h"
#include "yuccastair/support/id.h"

namespace yuccastair::node {
namespace {

constexpr std::size_t kJobRingCapacity = 4096;
constexpr std::chrono::milliseconds kIdleWait{1000};

std::chrono::milliseconds TimeLeft(support::TimePoint deadline) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - support::SteadyClock().Now());
}

http::Request ToTargetRequest(const wire::CallRequest& call,
                              const std::string& token) {
  http::Request request;
  request.method = call.method();
  request.path = call.path();
  request.body = call.body();
  for (const wire::Header& header : call.headers())
    request.headers.push_back({header.name(), header.value()});
  request.headers.push_back({"x-yuccastair-call", token});
  request.headers.push_back(
      {"x-yuccastair-deadline-ms", std::to_string(call.deadline_ms())});
  request.headers.push_back({"x-yuccastair-organisation", call.organisation()});
  request.headers.push_back({"x-yuccastair-request", call.request_id()});
  return request;
}

wire::CallReply ToCallReply(http::Response&& response) {
  wire::CallReply reply;
  reply.set_outcome(wire::OUTCOME_OK);
  reply.set_status(static_cast<std::uint32_t>(response.status));
  http::RemoveHopByHopHeaders(response.headers);
  for (http::Header& header : response.headers) {
    wire::Header* copy = reply.add_headers();
    copy->set_name(std::move(header.name));
    copy->set_value(std::move(header.value));
  }
  reply.set_body(std::move(response.body));
  return reply;
}

}  // namespace

TargetSide::TargetSide(std::size_t workers, RunningCalls& running)
    : running_(running),
      worker_count_(static_cast<std::uint32_t>(workers)),
      jobs_(kJobRingCapacity) {
  workers_.reserve(workers);
  for (std::size_t i = 0; i < workers; ++i)
    workers_.emplace_back([this] { Work(); });
}

TargetSide::~TargetSide() {
  Stop();
}

void TargetSide::Stop() {
  jobs_.Close();
  for (std::thread& worker : workers_)
    worker.join();
  workers_.clear();
}

void TargetSide::Announce(const TargetAnnouncement& announcement) {
  std::lock_guard lock(mutex_);
  announcement_ = announcement;
}

std::optional<TargetAnnouncement> TargetSide::announcement() const {
  std::lock_guard lock(mutex_);
  return announcement_;
}

void TargetSide::Submit(wire::CallRequest request, Completion done) {
  if (draining_) {
    done(NotRun("admission", "the node is leaving"));
    return;
  }
  const auto deadline = support::SteadyClock().Now() +
                        std::chrono::milliseconds(request.deadline_ms());
  Job job{std::move(request), std::move(done), deadline};
  if (!jobs_.TryPush(std::move(job)))
    // A rejected item is unchanged.  NOLINTNEXTLINE(bugprone-use-after-move)
    job.done(NotRun("admission", "the queue of the target's node is full"));
}

void TargetSide::Work() {
  std::optional<support::Address> connected_to;
  std::unique_ptr<http::Client> client;
  while (true) {
    auto job = jobs_.Pop(kIdleWait);
    if (!job) {
      if (jobs_.closed())
        return;
      continue;
    }
    const auto target = announcement();
    if (!target) {
      job->done(NotRun("admission", "no target has announced itself"));
      continue;
    }
    if (!client || connected_to != target->address) {
      client = std::make_unique<http::Client>(target->address);
      connected_to = target->address;
    }
    ++running_count_;
    wire::CallReply reply = Run(*job, *client);
    --running_count_;
    reply.set_attempt_id(job->request.attempt_id());
    *reply.mutable_load() = Load();
    job->done(std::move(reply));
  }
}

wire::CallReply TargetSide::Run(const Job& job, http::Client& client) {
  const auto left = TimeLeft(job.deadline);
  if (left.count() <= 0)
    return NotRun("admission",
                  "the deadline passed before the target was asked", 504);
  const wire::CallRequest& call = job.request;
  CallContext context;
  context.request_id = call.request_id();
  context.trace_id = call.trace_id();
  context.span_id = call.parent_span_id();
  context.trace_sampled = call.trace_sampled();
  context.organisation = call.organisation();
  context.importance = call.importance();
  context.deadline = job.deadline;
  context.depth = call.depth();
  const std::uint32_t budget =
      call.attempt_budget() > 0 ? call.attempt_budget() - 1 : 0;
  const std::string token = running_.Add(std::move(context), budget);
  http::Exchange exchange =
      client.Send(ToTargetRequest(call, token), left, call.idempotent());
  const std::uint32_t unused = running_.Remove(token);
  wire::CallReply reply;
  switch (exchange.result) {
    case http::ExchangeResult::kComplete:
      reply = ToCallReply(std::move(exchange.response));
      break;
    case http::ExchangeResult::kNotSent:
      reply = NotRun("target", exchange.error);
      break;
    case http::ExchangeResult::kBroken:
      reply = Unknown("target", exchange.error);
      if (const auto target = announcement();
          target && IsProcessGone(target->address))
        reply.set_crashed_target(target->address.ToString() + '/' +
                                 target->incarnation);
      break;
    case http::ExchangeResult::kTimedOut:
      reply = Unknown("target", exchange.error, 504);
      break;
  }
  reply.set_unused_attempts(unused);
  return reply;
}

wire::LoadReport TargetSide::Load() const {
  wire::LoadReport load;
  load.set_running(static_cast<std::uint32_t>(running_count_.load()));
  load.set_queued(static_cast<std::uint32_t>(jobs_.size()));
  load.set_limit(worker_count_);
  load.set_state(draining_ ? wire::TARGET_STATE_LEAVING
                           : wire::TARGET_STATE_UP);
  return load;
}

}  // namespace yuccastair::node
