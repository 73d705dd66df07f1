// Sends the attempts of a call to the nodes of targets.

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

// Limits how long a call waits for the first membership report of its service.
constexpr milliseconds kMembershipTimeout{400};
constexpr milliseconds kMembershipPollInterval{10};
// Bounds the delay until a disconnected caller or a silent node is noticed.
constexpr milliseconds kReplyPollInterval{50};

milliseconds TimeLeft(support::TimePoint deadline) {
  return std::chrono::ceil<milliseconds>(deadline -
                                         support::SteadyClock().Now());
}

bool IsDisconnected(const std::function<bool()>& caller_disconnected) {
  return caller_disconnected && caller_disconnected();
}

AttemptOutcome ToAttemptOutcome(const wire::CallReply& reply) {
  switch (reply.outcome()) {
    case wire::OUTCOME_OK:
      return AttemptOutcome::kServed;
    case wire::OUTCOME_NOT_RUN:
      // The node works but its target has failed.
      return reply.step() == "target" ? AttemptOutcome::kFailed
                                      : AttemptOutcome::kRejected;
    default:
      return AttemptOutcome::kFailed;
  }
}

}  // namespace

struct Forwarder::ServiceState {
  ServiceState(const support::Clock& clock,
               const routing::Options& options,
               const std::string& zone)
      : router(clock, options, zone, support::RandomBelow),
        retry_share(options.retry_share, options.retry_burst) {}

  std::mutex mutex;
  routing::Router router;
  routing::RetryBudget retry_share;
};

Forwarder::Forwarder(membership::MembershipView& fleet,
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

Forwarder::ServiceState& Forwarder::FindOrAddService(const std::string& name) {
  std::lock_guard lock(mutex_);
  auto& service = services_[name];
  if (!service) {
    service = std::make_unique<ServiceState>(
        clock_, options_lookup_ ? options_lookup_(name) : options_.routing,
        options_.availability_zone);
    service->router.SetZonesOut(zones_out_);
  }
  return *service;
}

void Forwarder::SetOptions(OptionsLookup lookup) {
  std::lock_guard lock(mutex_);
  options_lookup_ = std::move(lookup);
  for (auto& [name, service] : services_) {
    const routing::Options options = options_lookup_(name);
    std::lock_guard service_lock(service->mutex);
    service->router.SetOptions(options);
    service->retry_share.SetOptions(options.retry_share, options.retry_burst);
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
  const PeerHealth::TickActions actions = health_.Tick();
  for (const std::string& address : actions.ping_addresses) {
    wire::Envelope envelope;
    envelope.set_correlation(pending_.Begin());
    pending_.Forget(envelope.correlation());
    envelope.mutable_ping();
    transport_.Send(address, std::move(envelope));
  }
  for (const std::string& address : actions.silent_addresses) {
    support::LogWarning("forwarder.node_silent", {{"address", address}});
    transport_.Disconnect(address);
  }
}

std::vector<wire::Member> Forwarder::AwaitMembers(const std::string& service,
                                                  support::TimePoint deadline) {
  std::vector<wire::Member> members = fleet_.GetMembers(service);
  if (members.empty())
    wake_sync_();
  for (milliseconds waited{0}; members.empty() && waited < kMembershipTimeout &&
                               TimeLeft(deadline) > kMembershipPollInterval;
       waited += kMembershipPollInterval) {
    std::this_thread::sleep_for(kMembershipPollInterval);
    members = fleet_.GetMembers(service);
  }
  return members;
}

wire::CallReply Forwarder::Forward(
    wire::CallRequest call,
    support::TimePoint deadline,
    const std::function<bool()>& caller_disconnected) {
  const std::vector<wire::Member> members =
      AwaitMembers(call.service(), deadline);
  ServiceState& service = FindOrAddService(call.service());
  routing::AttemptBudget budget(call.attempt_budget());
  std::vector<std::string> tried_node_ids;
  // Set once an attempt ended without proof that it did not run.
  bool may_have_run = false;
  wire::CallReply reply = NotRunReply(
      "routing", "no target of service " + call.service() + " takes calls");
  {
    std::lock_guard lock(service.mutex);
    service.router.SetMembers(members);
    service.retry_share.OnFirstAttempt();
  }
  while (!IsDisconnected(caller_disconnected)) {
    std::optional<routing::Choice> choice;
    {
      std::lock_guard lock(service.mutex);
      choice = service.router.Choose(call.idempotent(), tried_node_ids);
      if (choice && !tried_node_ids.empty() &&
          !(budget.remaining() > 0 && service.retry_share.TryTake() &&
            budget.Spend())) {
        service.router.RecordOutcome(*choice, AttemptOutcome::kAbandoned,
                                     nullptr);
        choice.reset();
      }
    }
    if (!choice)
      break;
    const std::uint32_t delegated = budget.Delegate();
    call.set_attempt_id(support::RandomId());
    call.set_attempt_budget(delegated);
    AttemptResult attempted =
        MakeAttempt(choice->address, call, deadline, caller_disconnected);
    reply = std::move(attempted.reply);
    may_have_run |= reply.outcome() == wire::OUTCOME_UNKNOWN;
    // A call that did not run has used none of the attempts delegated to it.
    budget.ReturnUnused(delegated, reply.outcome() == wire::OUTCOME_NOT_RUN
                                       ? delegated
                                       : reply.unused_attempts());
    tried_node_ids.push_back(choice->node_id);
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
  if (tried_node_ids.empty() && IsDisconnected(caller_disconnected))
    reply = NotRunReply("caller", "the caller has disconnected");
  // The last attempt was rejected, but an earlier one may have run.
  if (may_have_run && reply.outcome() == wire::OUTCOME_NOT_RUN)
    reply.set_outcome(wire::OUTCOME_UNKNOWN);
  reply.set_unused_attempts(budget.remaining());
  return reply;
}

Forwarder::AttemptResult Forwarder::MakeAttempt(
    const std::string& address,
    const wire::CallRequest& call,
    support::TimePoint deadline,
    const std::function<bool()>& caller_disconnected) {
  const milliseconds remaining = TimeLeft(deadline);
  if (remaining.count() <= 0)
    return {NotRunReply("deadline",
                        "the deadline passed before the call was sent", 504),
            AttemptOutcome::kAbandoned, true};
  wire::Envelope envelope;
  const std::uint64_t correlation = pending_.Begin();
  envelope.set_correlation(correlation);
  *envelope.mutable_call_request() = call;
  envelope.mutable_call_request()->set_deadline_ms(
      static_cast<std::uint32_t>(remaining.count()));
  if (!transport_.Send(address, std::move(envelope))) {
    pending_.Forget(correlation);
    return {NotRunReply("transport", "the outbound queue of this node is full"),
            AttemptOutcome::kAbandoned};
  }
  health_.OnCallStart(address);
  AttemptResult attempted =
      AwaitReply(address, correlation, deadline, caller_disconnected);
  if (attempted.gave_up)
    attempted =
        CancelAttempt(address, correlation, call, attempted.reply.reason());
  health_.OnCallEnd(address);
  return attempted;
}

Forwarder::AttemptResult Forwarder::AwaitReply(
    const std::string& address,
    std::uint64_t correlation,
    support::TimePoint deadline,
    const std::function<bool()>& caller_disconnected) {
  while (true) {
    const milliseconds remaining = TimeLeft(deadline);
    if (remaining.count() <= 0)
      return {UnknownReply("deadline", "no reply within the deadline", 504),
              AttemptOutcome::kFailed, true};
    const auto received =
        pending_.WaitFor(correlation, std::min(remaining, kReplyPollInterval));
    if (received) {
      if (received->result == wire::WaitResult::kUndelivered)
        return {
            NotRunReply("transport", "node " + address + " cannot be reached"),
            AttemptOutcome::kUnreachable};
      if (!received->envelope.has_call_reply())
        return {UnknownReply("transport", "the peer sent an unexpected reply"),
                AttemptOutcome::kFailed};
      const wire::CallReply& reply = received->envelope.call_reply();
      return {reply, ToAttemptOutcome(reply)};
    }
    if (health_.IsSilent(address)) {
      pending_.Forget(correlation);
      return {
          UnknownReply("transport", "node " + address + " does not respond"),
          AttemptOutcome::kUnreachable};
    }
    if (IsDisconnected(caller_disconnected))
      return {UnknownReply("caller", "the caller has disconnected"),
              AttemptOutcome::kAbandoned, true};
  }
}

Forwarder::AttemptResult Forwarder::CancelAttempt(const std::string& address,
                                                  std::uint64_t correlation,
                                                  const wire::CallRequest& call,
                                                  const std::string& reason) {
  wire::Envelope envelope;
  envelope.set_correlation(correlation);
  envelope.mutable_call_cancel()->set_attempt_id(call.attempt_id());
  transport_.Send(address, std::move(envelope));
  const wire::Answer received =
      pending_.Wait(correlation, options_.cancel_timeout);
  if (received.result == wire::WaitResult::kAnswered &&
      received.envelope.has_call_reply()) {
    const wire::CallReply& reply = received.envelope.call_reply();
    return {reply,
            ToAttemptOutcome(reply) == AttemptOutcome::kServed
                ? AttemptOutcome::kServed
                : AttemptOutcome::kAbandoned,
            true};
  }
  // An undelivered cancellation has the same correlation as an undelivered
  // call. Neither therefore proves that the call did not arrive.
  return {UnknownReply("deadline", reason, 504), AttemptOutcome::kFailed, true};
}

}  // namespace yuccastair::node
