// Attempts of a call from its entry to the nodes of targets.

#include "forwarder.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "call_reply.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::node {
namespace {

using routing::AttemptOutcome;
using std::chrono::milliseconds;

// How long a call waits for the first membership report of its service.
constexpr milliseconds kMembershipWait{400};
constexpr milliseconds kMembershipPoll{10};
// How soon a caller that has gone or a silent node is noticed.
constexpr milliseconds kWaitSlice{50};

milliseconds TimeLeft(support::TimePoint deadline) {
  return std::chrono::ceil<milliseconds>(deadline -
                                         support::SteadyClock().Now());
}

bool Gone(const std::function<bool()>& caller_gone) {
  return caller_gone && caller_gone();
}

AttemptOutcome EndOf(const wire::CallReply& reply) {
  switch (reply.outcome()) {
    case wire::OUTCOME_OK:
      return AttemptOutcome::kServed;
    case wire::OUTCOME_NOT_RUN:
      // The node is fine but its target is not.
      return reply.step() == "target" ? AttemptOutcome::kFailed
                                      : AttemptOutcome::kRejected;
    default:
      return AttemptOutcome::kFailed;
  }
}

}  // namespace

struct Forwarder::Service {
  Service(const support::Clock& clock,
          const routing::Options& options,
          const std::string& zone)
      : router(clock, options, zone, support::RandomBelow),
        share(options.retry_share, options.retry_burst) {}

  std::mutex mutex;
  routing::Router router;
  routing::RetryBudget share;
};

Forwarder::Forwarder(membership::FleetView& fleet,
                     wire::Transport& transport,
                     wire::PendingCalls& pending,
                     std::function<void()> wake_sync,
                     Options options)
    : options_(std::move(options)),
      fleet_(fleet),
      transport_(transport),
      pending_(pending),
      wake_sync_(std::move(wake_sync)),
      health_(clock_, options_.health) {}

Forwarder::~Forwarder() = default;

Forwarder::Service& Forwarder::ServiceNamed(const std::string& name) {
  std::lock_guard lock(mutex_);
  auto& service = services_[name];
  if (!service) {
    service = std::make_unique<Service>(
        clock_, options_of_ ? options_of_(name) : options_.routing,
        options_.availability_zone);
    service->router.SetZonesOut(zones_out_);
  }
  return *service;
}

void Forwarder::SetOptions(OptionsLookup lookup) {
  std::lock_guard lock(mutex_);
  options_of_ = std::move(lookup);
  for (auto& [name, service] : services_) {
    const routing::Options options = options_of_(name);
    std::lock_guard service_lock(service->mutex);
    service->router.SetOptions(options);
    service->share.SetOptions(options.retry_share, options.retry_burst);
  }
}

void Forwarder::SetZonesOut(const std::set<std::string>& zones) {
  std::lock_guard lock(mutex_);
  zones_out_ = zones;
  for (auto& [name, service] : services_) {
    std::lock_guard service_lock(service->mutex);
    service->router.SetZonesOut(zones);
  }
}

void Forwarder::OnTick() {
  const PeerHealth::Due due = health_.Tick();
  for (const std::string& address : due.pings) {
    wire::Envelope envelope;
    envelope.set_correlation(pending_.Begin());
    pending_.Forget(envelope.correlation());
    envelope.mutable_ping();
    transport_.Send(address, std::move(envelope));
  }
  for (const std::string& address : due.silent) {
    support::LogWarning("forwarder.node_silent", {{"address", address}});
    transport_.Disconnect(address);
  }
}

std::vector<wire::Member> Forwarder::AwaitMembers(const std::string& service,
                                                  support::TimePoint deadline) {
  std::vector<wire::Member> members = fleet_.MembersOf(service);
  if (members.empty())
    wake_sync_();
  for (milliseconds waited{0}; members.empty() && waited < kMembershipWait &&
                               TimeLeft(deadline) > kMembershipPoll;
       waited += kMembershipPoll) {
    std::this_thread::sleep_for(kMembershipPoll);
    members = fleet_.MembersOf(service);
  }
  return members;
}

wire::CallReply Forwarder::Forward(wire::CallRequest call,
                                   support::TimePoint deadline,
                                   const std::function<bool()>& caller_gone) {
  const std::vector<wire::Member> members =
      AwaitMembers(call.service(), deadline);
  Service& service = ServiceNamed(call.service());
  routing::AttemptBudget budget(call.attempt_budget());
  std::vector<std::string> tried;
  // An earlier attempt ended without proof that it has not run.
  bool may_have_run = false;
  wire::CallReply reply = NotRun(
      "routing", "no target of service " + call.service() + " takes calls");
  {
    std::lock_guard lock(service.mutex);
    service.router.SetMembers(members);
    service.share.OnFirstAttempt();
  }
  while (!Gone(caller_gone)) {
    std::optional<routing::Choice> choice;
    {
      std::lock_guard lock(service.mutex);
      choice = service.router.Choose(call.idempotent(), tried);
      if (choice && !tried.empty() &&
          !(budget.remaining() > 0 && service.share.TryTake() &&
            budget.Spend())) {
        service.router.RecordOutcome(*choice, AttemptOutcome::kAbandoned,
                                     nullptr);
        choice.reset();
      }
    }
    if (!choice)
      break;
    const std::uint32_t lent = budget.Delegate();
    call.set_attempt_id(support::RandomId());
    call.set_attempt_budget(lent);
    Attempted attempted = Attempt(choice->address, call, deadline, caller_gone);
    reply = std::move(attempted.reply);
    may_have_run |= reply.outcome() == wire::OUTCOME_UNKNOWN;
    // Nothing below can have used what was lent to a call that has not run.
    budget.ReturnUnused(lent, reply.outcome() == wire::OUTCOME_NOT_RUN
                                  ? lent
                                  : reply.unused_attempts());
    tried.push_back(choice->node_id);
    {
      std::lock_guard lock(service.mutex);
      service.router.RecordOutcome(*choice, attempted.end,
                                   reply.has_load() ? &reply.load() : nullptr);
      if (attempted.end == AttemptOutcome::kRejected &&
          service.router.AllOverloaded())
        reply.set_service_overloaded(true);
    }
    if (attempted.gave_up || !routing::IsRetryable(call.idempotent(), reply) ||
        TimeLeft(deadline).count() <= 0)
      break;
  }
  if (tried.empty() && Gone(caller_gone))
    reply = NotRun("caller", "the caller has gone");
  // The last attempt was refused, but one before it may have run.
  if (may_have_run && reply.outcome() == wire::OUTCOME_NOT_RUN)
    reply.set_outcome(wire::OUTCOME_UNKNOWN);
  reply.set_unused_attempts(budget.remaining());
  return reply;
}

Forwarder::Attempted Forwarder::Attempt(
    const std::string& address,
    const wire::CallRequest& call,
    support::TimePoint deadline,
    const std::function<bool()>& caller_gone) {
  const milliseconds left = TimeLeft(deadline);
  if (left.count() <= 0)
    return {
        NotRun("deadline", "the deadline passed before the call was sent", 504),
        AttemptOutcome::kAbandoned, true};
  wire::Envelope envelope;
  const std::uint64_t correlation = pending_.Begin();
  envelope.set_correlation(correlation);
  *envelope.mutable_call_request() = call;
  envelope.mutable_call_request()->set_deadline_ms(
      static_cast<std::uint32_t>(left.count()));
  if (!transport_.Send(address, std::move(envelope))) {
    pending_.Forget(correlation);
    return {NotRun("transport", "the outbound ring of this node is full"),
            AttemptOutcome::kAbandoned};
  }
  health_.OnCallStart(address);
  Attempted attempted = Await(address, correlation, deadline, caller_gone);
  if (attempted.gave_up)
    attempted = Cancel(address, correlation, call, attempted.reply.reason());
  health_.OnCallEnd(address);
  return attempted;
}

Forwarder::Attempted Forwarder::Await(
    const std::string& address,
    std::uint64_t correlation,
    support::TimePoint deadline,
    const std::function<bool()>& caller_gone) {
  while (true) {
    const milliseconds left = TimeLeft(deadline);
    if (left.count() <= 0)
      return {Unknown("deadline", "no answer within the deadline", 504),
              AttemptOutcome::kFailed, true};
    const auto answer =
        pending_.WaitFor(correlation, std::min(left, kWaitSlice));
    if (answer) {
      if (answer->result == wire::WaitResult::kUndelivered)
        return {NotRun("transport", "node " + address + " cannot be reached"),
                AttemptOutcome::kUnreachable};
      if (!answer->envelope.has_call_reply())
        return {Unknown("transport", "the peer sent an unexpected answer"),
                AttemptOutcome::kFailed};
      const wire::CallReply& reply = answer->envelope.call_reply();
      return {reply, EndOf(reply)};
    }
    if (health_.IsSilent(address)) {
      pending_.Forget(correlation);
      return {Unknown("transport", "node " + address + " has turned silent"),
              AttemptOutcome::kUnreachable};
    }
    if (Gone(caller_gone))
      return {Unknown("caller", "the caller has gone"),
              AttemptOutcome::kAbandoned, true};
  }
}

Forwarder::Attempted Forwarder::Cancel(const std::string& address,
                                       std::uint64_t correlation,
                                       const wire::CallRequest& call,
                                       const std::string& reason) {
  wire::Envelope envelope;
  envelope.set_correlation(correlation);
  envelope.mutable_call_cancel()->set_attempt_id(call.attempt_id());
  transport_.Send(address, std::move(envelope));
  const wire::Answer answer = pending_.Wait(correlation, options_.cancel_wait);
  if (answer.result == wire::WaitResult::kAnswered &&
      answer.envelope.has_call_reply()) {
    const wire::CallReply& reply = answer.envelope.call_reply();
    return {reply,
            EndOf(reply) == AttemptOutcome::kServed
                ? AttemptOutcome::kServed
                : AttemptOutcome::kAbandoned,
            true};
  }
  // An undelivered cancellation has the same correlation as an undelivered
  // call, so neither proves that the call did not arrive.
  return {Unknown("deadline", reason, 504), AttemptOutcome::kFailed, true};
}

}  // namespace yuccastair::node
