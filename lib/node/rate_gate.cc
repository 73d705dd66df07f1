// Waits for tokens and exchanges messages about leases with the leader.

#include "rate_gate.h"

#include <algorithm>
#include <utility>

#include "call_reply.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

constexpr int kTooManyRequests = 429;
// Interval of checking the leases while requests arrive, and otherwise.
constexpr milliseconds kBusyPoll{5};
constexpr milliseconds kIdlePoll{100};
// Delay after an exchange with a control process failed.
constexpr milliseconds kFailurePause{10};
constexpr milliseconds kAnswerWait{50};

}  // namespace

RateGate::RateGate(const std::string& node_id,
                   const std::string& incarnation,
                   LeaderChannel& leader)
    : leader_(leader), leases_(lease_clock_, node_id, incarnation) {
  thread_ = std::thread([this] { Run(); });
}

RateGate::~RateGate() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  needed_.notify_all();
  granted_.notify_all();
  thread_.join();
}

std::optional<wire::CallReply> RateGate::Admit(const std::string& organisation,
                                               support::TimePoint deadline) {
  if (organisation.empty())
    return std::nullopt;
  std::unique_lock lock(mutex_);
  bool taken = leases_.TryTake(organisation);
  // The thread reports the tokens spent, and renews or enlarges the lease.
  if (!std::exchange(work_, true) || !taken)
    needed_.notify_one();
  if (taken)
    return std::nullopt;
  leases_.AddWaiter(organisation);
  const auto until = std::min(deadline, clock_.Now() + kTokenWait);
  granted_.wait_until(lock, until, [&] {
    taken = leases_.TryTake(organisation);
    return taken || stopping_;
  });
  leases_.RemoveWaiter(organisation);
  if (taken)
    return std::nullopt;
  wire::CallReply reply = NotRun(
      "rate",
      "the organisation exceeds its rate or no token was granted in time",
      kTooManyRequests);
  reply.set_retry_after_ms(static_cast<std::uint32_t>(
      std::max(milliseconds(1), leases_.RetryAfter(organisation)).count()));
  return reply;
}

void RateGate::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const bool busy = std::exchange(work_, false);
    const std::optional<wire::RateRequest> request = leases_.NextRequest();
    if (!request) {
      if (busy)
        needed_.wait_for(lock, kBusyPoll);
      else
        needed_.wait_for(lock, kIdlePoll, [&] { return work_ || stopping_; });
      continue;
    }
    lock.unlock();
    const bool answered = Exchange(*request);
    lock.lock();
    granted_.notify_all();
    work_ = true;
    if (!answered)
      needed_.wait_for(lock, kFailurePause, [&] { return stopping_; });
  }
}

bool RateGate::Exchange(const wire::RateRequest& request) {
  wire::Envelope envelope;
  *envelope.mutable_rate_request() = request;
  const auto answer = leader_.Exchange(std::move(envelope), kAnswerWait);
  if (!answer || !answer->has_rate_grant())
    return false;
  const wire::RateGrant& grant = answer->rate_grant();
  if (grant.not_leader()) {
    leader_.Redirect(grant.leader_address());
    return false;
  }
  std::lock_guard lock(mutex_);
  leases_.Apply(grant);
  return true;
}

}  // namespace yuccastair::node
