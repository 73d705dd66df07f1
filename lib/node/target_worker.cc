// The worker threads, each of which makes one exchange with the target at a
// time.

#include <algorithm>
#include <utility>

#include "call_reply.h"
#include "target_executor.h"
#include "yuccastair/routing/fingerprint.h"
#include "yuccastair/support/log.h"

namespace yuccastair::node {
namespace {

using admission::ExchangeOutcome;
using std::chrono::milliseconds;

constexpr milliseconds kIdlePopTimeout{60000};
// A kept connection is assumed to be silent if nothing is received on it for
// this many expected latencies, and at least for the minimum time.
constexpr int kSilenceLatencyFactor = 8;
constexpr milliseconds kMinSilenceTime{250};
// A process that ends closes its listening socket together with its
// connections. One that is restarted immediately announces a new incarnation.
constexpr milliseconds kCrashWatchTime{100};
constexpr milliseconds kCrashPollInterval{10};

milliseconds TimeLeft(support::TimePoint deadline) {
  return std::chrono::duration_cast<milliseconds>(deadline -
                                                  support::SteadyClock().Now());
}

http::Request ToTargetRequest(const wire::CallRequest& call,
                              const std::string& token,
                              milliseconds remaining) {
  http::Request request;
  request.method = call.method();
  request.path = call.path();
  request.body = call.body();
  for (const wire::Header& header : call.headers())
    request.headers.push_back({header.name(), header.value()});
  request.headers.push_back({"x-yuccastair-call", token});
  request.headers.push_back(
      {"x-yuccastair-deadline-ms", std::to_string(remaining.count())});
  request.headers.push_back({"x-yuccastair-organisation", call.organisation()});
  request.headers.push_back({"x-yuccastair-request", call.request_id()});
  return request;
}

wire::CallReply ToCallReply(const http::Response& response) {
  wire::CallReply reply;
  reply.set_outcome(wire::OUTCOME_OK);
  reply.set_status(static_cast<std::uint32_t>(response.status));
  std::vector<http::Header> headers = response.headers;
  http::RemoveHopByHopHeaders(headers);
  for (http::Header& header : headers) {
    wire::Header* copy = reply.add_headers();
    copy->set_name(std::move(header.name));
    copy->set_value(std::move(header.value));
  }
  reply.set_body(response.body);
  return reply;
}

CallContext MakeCallContext(const wire::CallRequest& call,
                            support::TimePoint deadline) {
  CallContext context;
  context.request_id = call.request_id();
  context.trace_id = call.trace_id();
  context.span_id = call.parent_span_id();
  context.trace_sampled = call.trace_sampled();
  context.organisation = call.organisation();
  context.importance = call.importance();
  context.deadline = deadline;
  context.depth = call.depth();
  return context;
}

bool IsOverloadStatus(int status) {
  return status == 503 || status == 429;
}

}  // namespace

void TargetExecutor::RunWorker() {
  while (true) {
    auto next = ready_jobs_.Pop(kIdlePopTimeout);
    if (!next) {
      if (ready_jobs_.closed())
        return;
      continue;
    }
    Job& job = **next;
    Complete(job, RunJob(job));
  }
}

wire::CallReply TargetExecutor::RunJob(Job& job) {
  std::optional<wire::CallReply> rejection;
  const auto target = announcement();
  if (TimeLeft(job.deadline).count() <= 0)
    rejection = NotRunReply(
        "admission", "the deadline passed before the call reached the target",
        504);
  else if (!target)
    rejection = NotRunReply("admission", "no target has announced itself");
  else if (hooks_.is_blocked &&
           hooks_.is_blocked(routing::CrashFingerprint(job.request)))
    rejection =
        NotRunReply("fingerprint", "the request has crashed several targets");
  if (rejection) {
    ReleaseSlot(job, ExchangeOutcome::kCancelled);
    return *std::move(rejection);
  }
  const std::string token = running_calls_.Add(
      MakeCallContext(job.request, job.deadline), job.request.attempt_budget());
  const RunResult result = ExchangeWithTarget(job, token, *target);
  const std::uint32_t unused = running_calls_.Remove(token);
  ReleaseSlot(job, ToExchangeEnd(result));
  wire::CallReply reply = ToReply(result);
  reply.set_unused_attempts(unused);
  if (result.reached_target &&
      result.exchange.result == http::ExchangeResult::kBroken &&
      DetectCrash(job.request, *target))
    reply.set_crashed_target(target->address.ToString() + '/' +
                             target->incarnation);
  return reply;
}

void TargetExecutor::ReleaseSlot(const Job& job, ExchangeOutcome end) {
  // The ring has capacity for this unless the dispatcher is far behind.
  while (!events_.TryPush(JobFinished{job.id, end}))
    std::this_thread::sleep_for(milliseconds(1));
}

void TargetExecutor::SendOnce(Job& job,
                              const std::string& token,
                              const TargetAnnouncement& target,
                              bool reuse_connection,
                              milliseconds timeout,
                              RunResult& result) {
  TargetConnectionPool::PooledClient pooled_client =
      pool_.Acquire(target.address);
  {
    std::lock_guard lock(job.mutex);
    if (job.cancelled) {
      result.exchange = {http::ExchangeResult::kCancelled, {}, "cancelled"};
      return;
    }
    pooled_client.client->ResetCancel();
    job.client = pooled_client.client.get();
  }
  result.exchange = pooled_client.client->Send(
      ToTargetRequest(job.request, token, TimeLeft(job.deadline)), timeout,
      reuse_connection);
  {
    std::lock_guard lock(job.mutex);
    job.client = nullptr;
    // A client that was cancelled before it was connected has sent nothing.
    if (result.exchange.result == http::ExchangeResult::kNotSent &&
        job.cancelled)
      result.exchange.result = http::ExchangeResult::kCancelled;
    else if (result.exchange.result != http::ExchangeResult::kNotSent)
      result.reached_target = true;
  }
  pool_.Release(std::move(pooled_client));
}

TargetExecutor::RunResult TargetExecutor::ExchangeWithTarget(
    Job& job,
    const std::string& token,
    const TargetAnnouncement& target) {
  const wire::CallRequest& call = job.request;
  const milliseconds remaining =
      std::max(TimeLeft(job.deadline), milliseconds(1));
  RunResult result;
  // A kept connection may be silent or just being closed by the target. Only an
  // idempotent call that may be sent twice uses one.
  if (!call.idempotent() || call.attempt_budget() == 0) {
    SendOnce(job, token, target, false, remaining, result);
    return result;
  }
  milliseconds first_timeout = remaining / 2;
  if (job.expected_latency.count() > 0)
    first_timeout = std::min(
        first_timeout, std::max(kMinSilenceTime,
                                kSilenceLatencyFactor * job.expected_latency));
  SendOnce(job, token, target, true, first_timeout, result);
  const bool silent = result.exchange.result == http::ExchangeResult::kTimedOut;
  if (silent)
    pool_.DiscardAll();
  const milliseconds retry_timeout = TimeLeft(job.deadline);
  if ((silent || result.exchange.result == http::ExchangeResult::kBroken) &&
      retry_timeout.count() > 0 && http::CanConnect(target.address) &&
      running_calls_.SpendAttempt(token))
    SendOnce(job, token, target, false, retry_timeout, result);
  return result;
}

ExchangeOutcome TargetExecutor::ToExchangeEnd(const RunResult& result) {
  switch (result.exchange.result) {
    case http::ExchangeResult::kComplete:
      return IsOverloadStatus(result.exchange.response.status)
                 ? ExchangeOutcome::kShed
                 : ExchangeOutcome::kComplete;
    case http::ExchangeResult::kNotSent:
      return ExchangeOutcome::kConnectionRefused;
    case http::ExchangeResult::kBroken:
      return ExchangeOutcome::kConnectionFailed;
    case http::ExchangeResult::kTimedOut:
      return ExchangeOutcome::kTimedOut;
    case http::ExchangeResult::kCancelled:
      return ExchangeOutcome::kCancelled;
  }
  return ExchangeOutcome::kConnectionFailed;
}

wire::CallReply TargetExecutor::ToReply(const RunResult& result) {
  const std::string& error = result.exchange.error;
  if (result.exchange.result == http::ExchangeResult::kComplete)
    return ToCallReply(result.exchange.response);
  const bool cancelled =
      result.exchange.result == http::ExchangeResult::kCancelled;
  const char* step = cancelled ? "cancel" : "target";
  // The first exchange of a call may have run even if the second was not sent.
  if (!result.reached_target)
    return NotRunReply(step, error);
  const bool timed_out =
      result.exchange.result == http::ExchangeResult::kTimedOut;
  return UnknownReply(step, error, timed_out ? 504 : 502);
}

bool TargetExecutor::DetectCrash(const wire::CallRequest& call,
                                 const TargetAnnouncement& target) {
  if (!HasTargetStopped(target))
    return false;
  support::LogWarning(
      "target_side.crash",
      {{"organisation", call.organisation()}, {"route", call.route()}});
  if (hooks_.report_crash)
    hooks_.report_crash(routing::CrashFingerprint(call));
  return true;
}

bool TargetExecutor::HasTargetStopped(const TargetAnnouncement& target) const {
  const auto until = clock_.Now() + kCrashWatchTime;
  if (!http::CanConnect(target.address))
    return true;
  while (clock_.Now() < until) {
    const auto now = announcement();
    if (now && now->incarnation != target.incarnation)
      return true;
    std::this_thread::sleep_for(kCrashPollInterval);
  }
  return !http::CanConnect(target.address);
}

}  // namespace yuccastair::node
