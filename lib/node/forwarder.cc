// Attempts of a call from its entry to the nodes of targets.

#include "forwarder.h"

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

#include "call_reply.h"
#include "yuccastair/support/id.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

// How long a call waits for the first membership report of its service.
constexpr milliseconds kMembershipWait{400};
constexpr milliseconds kMembershipPoll{10};

milliseconds TimeLeft(support::TimePoint deadline) {
  return std::chrono::duration_cast<milliseconds>(deadline -
                                                  support::SteadyClock().Now());
}

bool MayRetry(const wire::CallRequest& call, const wire::CallReply& reply) {
  if (reply.outcome() == wire::OUTCOME_OK || reply.service_overloaded())
    return false;
  // The crash is reported before the request reaches another target.
  if (!reply.crashed_target().empty())
    return false;
  return call.idempotent() || reply.outcome() == wire::OUTCOME_NOT_RUN;
}

}  // namespace

Forwarder::Forwarder(FleetView& fleet,
                     wire::Transport& transport,
                     wire::PendingCalls& pending,
                     std::function<void()> wake_sync)
    : fleet_(fleet),
      transport_(transport),
      pending_(pending),
      wake_sync_(std::move(wake_sync)) {}

wire::CallReply Forwarder::Forward(wire::CallRequest call,
                                   support::TimePoint deadline,
                                   const std::function<bool()>& caller_gone) {
  std::vector<wire::Member> members = fleet_.MembersOf(call.service());
  if (members.empty())
    wake_sync_();
  for (milliseconds waited{0}; members.empty() && waited < kMembershipWait;
       waited += kMembershipPoll) {
    std::this_thread::sleep_for(kMembershipPoll);
    members = fleet_.MembersOf(call.service());
  }
  std::uint32_t budget = call.attempt_budget();
  if (budget == 0)
    return NotRun("retry", "the attempt budget of the request is spent");
  wire::CallReply reply =
      NotRun("routing", "no target of service " + call.service() + " is known");
  while (budget > 0 && !members.empty()) {
    const std::size_t chosen =
        support::RandomBelow(static_cast<std::uint32_t>(members.size()));
    call.set_attempt_id(support::RandomId());
    call.set_attempt_budget(budget);
    reply = Attempt(members[chosen].address(), call, deadline, caller_gone);
    // The attempt itself and what its target used below it are spent.
    budget = std::min(budget - 1, reply.unused_attempts());
    if (reply.outcome() == wire::OUTCOME_NOT_RUN)
      budget = std::max(budget, call.attempt_budget() - 1);
    if (!MayRetry(call, reply) || TimeLeft(deadline).count() <= 0)
      break;
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
  reply.set_unused_attempts(budget);
  return reply;
}

wire::CallReply Forwarder::Attempt(
    const std::string& address,
    wire::CallRequest call,
    support::TimePoint deadline,
    const std::function<bool()>& /*caller_gone*/) {
  const milliseconds left = TimeLeft(deadline);
  if (left.count() <= 0)
    return NotRun("deadline", "the deadline passed before the call was sent",
                  504);
  call.set_deadline_ms(static_cast<std::uint32_t>(left.count()));
  wire::Envelope envelope;
  const std::uint64_t correlation = pending_.Begin();
  envelope.set_correlation(correlation);
  *envelope.mutable_call_request() = std::move(call);
  if (!transport_.Send(address, std::move(envelope))) {
    pending_.CompleteUndelivered(correlation);
    pending_.Wait(correlation, milliseconds(0));
    return NotRun("transport", "the outbound ring of this node is full");
  }
  const wire::Answer answer = pending_.Wait(correlation, left);
  switch (answer.result) {
    case wire::WaitResult::kAnswered:
      if (answer.envelope.has_call_reply())
        return answer.envelope.call_reply();
      return Unknown("transport", "the peer sent an unexpected answer");
    case wire::WaitResult::kUndelivered:
      return NotRun("transport", "node " + address + " cannot be reached");
    case wire::WaitResult::kTimedOut:
      break;
  }
  return Unknown("deadline", "no answer within the deadline", 504);
}

}  // namespace yuccastair::node
