// The worker threads of the target side: one exchange with the target at a
// time each.

#include <algorithm>
#include <utility>

#include "call_reply.h"
#include "target_side.h"
#include "yuccastair/routing/fingerprint.h"
#include "yuccastair/support/log.h"

namespace yuccastair::node {
namespace {

using admission::ExchangeOutcome;
using std::chrono::milliseconds;

constexpr milliseconds kIdleWait{60000};
// A kept connection on which nothing comes for this many usual latencies, and
// for this long, is taken for silent.
constexpr int kSilentLatencies = 8;
constexpr milliseconds kMinSilence{250};
// A process that ends closes its listening socket together with its
// connections; one that is restarted at once announces a new incarnation.
constexpr milliseconds kCrashWatch{100};
constexpr milliseconds kCrashPoll{10};

milliseconds TimeLeft(support::TimePoint deadline) {
  return std::chrono::duration_cast<milliseconds>(deadline -
                                                  support::SteadyClock().Now());
}

http::Request ToTargetRequest(const wire::CallRequest& call,
                              const std::string& token,
                              milliseconds left) {
  http::Request request;
  request.method = call.method();
  request.path = call.path();
  request.body = call.body();
  for (const wire::Header& header : call.headers())
    request.headers.push_back({header.name(), header.value()});
  request.headers.push_back({"x-yuccastair-call", token});
  request.headers.push_back(
      {"x-yuccastair-deadline-ms", std::to_string(left.count())});
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

CallContext ContextOf(const wire::CallRequest& call,
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

bool IsShed(int status) {
  return status == 503 || status == 429;
}

}  // namespace

void TargetSide::Work() {
  while (true) {
    auto next = ready_.Pop(kIdleWait);
    if (!next) {
      if (ready_.closed())
        return;
      continue;
    }
    Job& job = **next;
    Answer(job, Run(job));
  }
}

wire::CallReply TargetSide::Run(Job& job) {
  std::optional<wire::CallReply> refusal;
  const auto target = announcement();
  if (TimeLeft(job.deadline).count() <= 0)
    refusal = NotRun("admission",
                     "the deadline passed before the target was asked", 504);
  else if (!target)
    refusal = NotRun("admission", "no target has announced itself");
  else if (hooks_.is_known &&
           hooks_.is_known(routing::CrashFingerprint(job.request)))
    refusal = NotRun("fingerprint", "the request has crashed several targets");
  if (refusal) {
    FreeSlot(job, ExchangeOutcome::kCancelled);
    return *std::move(refusal);
  }
  const std::string token = running_.Add(ContextOf(job.request, job.deadline),
                                         job.request.attempt_budget());
  const Ran ran = Exchange(job, token, *target);
  const std::uint32_t unused = running_.Remove(token);
  FreeSlot(job, EndOf(ran));
  wire::CallReply reply = ToReply(ran);
  reply.set_unused_attempts(unused);
  if (ran.reached && ran.exchange.result == http::ExchangeResult::kBroken &&
      WatchForCrash(job.request, *target))
    reply.set_crashed_target(target->address.ToString() + '/' +
                             target->incarnation);
  return reply;
}

void TargetSide::FreeSlot(const Job& job, ExchangeOutcome end) {
  // The ring has room for this unless the dispatcher is far behind.
  while (!events_.TryPush(Finished{job.id, end}))
    std::this_thread::sleep_for(milliseconds(1));
}

void TargetSide::SendOnce(Job& job,
                          const std::string& token,
                          const TargetAnnouncement& target,
                          bool reuse_connection,
                          milliseconds timeout,
                          Ran& ran) {
  TargetPool::Lease lease = pool_.Take(target.address);
  {
    std::lock_guard lock(job.mutex);
    if (job.cancelled) {
      ran.exchange = {http::ExchangeResult::kCancelled, {}, "cancelled"};
      return;
    }
    lease.client->ResetCancel();
    job.client = lease.client.get();
  }
  ran.exchange = lease.client->Send(
      ToTargetRequest(job.request, token, TimeLeft(job.deadline)), timeout,
      reuse_connection);
  {
    std::lock_guard lock(job.mutex);
    job.client = nullptr;
    // A client that was cancelled before it had a connection sent nothing.
    if (ran.exchange.result == http::ExchangeResult::kNotSent && job.cancelled)
      ran.exchange.result = http::ExchangeResult::kCancelled;
    else if (ran.exchange.result != http::ExchangeResult::kNotSent)
      ran.reached = true;
  }
  pool_.Put(std::move(lease));
}

TargetSide::Ran TargetSide::Exchange(Job& job,
                                     const std::string& token,
                                     const TargetAnnouncement& target) {
  const wire::CallRequest& call = job.request;
  const milliseconds left = std::max(TimeLeft(job.deadline), milliseconds(1));
  Ran ran;
  // Only an idempotent call that may be sent twice uses a kept connection,
  // which may have gone silent or be closed by the target at this moment.
  if (!call.idempotent() || call.attempt_budget() == 0) {
    SendOnce(job, token, target, false, left, ran);
    return ran;
  }
  milliseconds patience = left / 2;
  if (job.usual_latency.count() > 0)
    patience = std::min(
        patience, std::max(kMinSilence, kSilentLatencies * job.usual_latency));
  SendOnce(job, token, target, true, patience, ran);
  const bool silent = ran.exchange.result == http::ExchangeResult::kTimedOut;
  if (silent)
    pool_.Replace();
  const milliseconds rest = TimeLeft(job.deadline);
  if ((silent || ran.exchange.result == http::ExchangeResult::kBroken) &&
      rest.count() > 0 && http::CanConnect(target.address) &&
      running_.SpendAttempt(token))
    SendOnce(job, token, target, false, rest, ran);
  return ran;
}

ExchangeOutcome TargetSide::EndOf(const Ran& ran) {
  switch (ran.exchange.result) {
    case http::ExchangeResult::kComplete:
      return IsShed(ran.exchange.response.status) ? ExchangeOutcome::kShed
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

wire::CallReply TargetSide::ToReply(const Ran& ran) {
  const std::string& error = ran.exchange.error;
  if (ran.exchange.result == http::ExchangeResult::kComplete)
    return ToCallReply(ran.exchange.response);
  const bool cancelled =
      ran.exchange.result == http::ExchangeResult::kCancelled;
  const char* step = cancelled ? "cancel" : "target";
  // An earlier exchange of the same call may have run although the last one was
  // not sent.
  if (!ran.reached)
    return NotRun(step, error);
  const bool timed_out = ran.exchange.result == http::ExchangeResult::kTimedOut;
  return Unknown(step, error, timed_out ? 504 : 502);
}

bool TargetSide::WatchForCrash(const wire::CallRequest& call,
                               const TargetAnnouncement& target) {
  if (!TargetIsGone(target))
    return false;
  support::LogWarning(
      "target_side.crash",
      {{"organisation", call.organisation()}, {"route", call.route()}});
  if (hooks_.report)
    hooks_.report(routing::CrashFingerprint(call));
  return true;
}

bool TargetSide::TargetIsGone(const TargetAnnouncement& target) const {
  const auto until = clock_.Now() + kCrashWatch;
  if (!http::CanConnect(target.address))
    return true;
  while (clock_.Now() < until) {
    const auto now = announcement();
    if (now && now->incarnation != target.incarnation)
      return true;
    std::this_thread::sleep_for(kCrashPoll);
  }
  return !http::CanConnect(target.address);
}

}  // namespace yuccastair::node
