// Waits for tokens and exchanges messages about leases with the leader.

#include "rate_limiter.h"

#include <algorithm>
#include <utility>

#include "call_reply.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

constexpr int kTooManyRequests = 429;
// Interval of checking the leases while requests arrive, and otherwise.
constexpr milliseconds kBusyPollInterval{5};
constexpr milliseconds kIdlePollInterval{100};
// Delay after an exchange with a control process failed.
constexpr milliseconds kFailureDelay{10};
constexpr milliseconds kReplyTimeout{50};

}  // namespace

RateLimiter::RateLimiter(const std::string& node_id,
                         const std::string& incarnation,
                         LeaderChannel& leader_channel)
    : leader_channel_(leader_channel),
      leases_(lease_clock_, node_id, incarnation) {
  exchange_thread_ = std::thread([this] { RunExchanges(); });
}

RateLimiter::~RateLimiter() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  work_available_.notify_all();
  tokens_granted_.notify_all();
  exchange_thread_.join();
}

std::optional<wire::CallReply> RateLimiter::Admit(
    const std::string& organisation,
    support::TimePoint deadline) {
  if (organisation.empty())
    return std::nullopt;
  std::unique_lock lock(mutex_);
  bool taken = leases_.TryTake(organisation);
  // The thread reports the tokens spent, and renews or enlarges the lease.
  if (!std::exchange(has_work_, true) || !taken)
    work_available_.notify_one();
  if (taken)
    return std::nullopt;
  leases_.AddWaiter(organisation);
  const auto until = std::min(deadline, clock_.Now() + kTokenTimeout);
  tokens_granted_.wait_until(lock, until, [&] {
    taken = leases_.TryTake(organisation);
    return taken || stopping_;
  });
  leases_.RemoveWaiter(organisation);
  if (taken)
    return std::nullopt;
  wire::CallReply reply = NotRunReply(
      "rate",
      "the organisation exceeds its rate or no token was granted in time",
      kTooManyRequests);
  reply.set_retry_after_ms(static_cast<std::uint32_t>(
      std::max(milliseconds(1), leases_.RetryAfter(organisation)).count()));
  return reply;
}

void RateLimiter::RunExchanges() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const bool had_work = std::exchange(has_work_, false);
    const std::optional<wire::RateRequest> request = leases_.NextRequest();
    if (!request) {
      if (had_work)
        work_available_.wait_for(lock, kBusyPollInterval);
      else
        work_available_.wait_for(lock, kIdlePollInterval,
                                 [&] { return has_work_ || stopping_; });
      continue;
    }
    lock.unlock();
    const bool replied = ExchangeLeases(*request);
    lock.lock();
    tokens_granted_.notify_all();
    has_work_ = true;
    if (!replied)
      work_available_.wait_for(lock, kFailureDelay, [&] { return stopping_; });
  }
}

bool RateLimiter::ExchangeLeases(const wire::RateRequest& request) {
  wire::Envelope envelope;
  *envelope.mutable_rate_request() = request;
  const auto reply =
      leader_channel_.Exchange(std::move(envelope), kReplyTimeout);
  if (!reply || !reply->has_rate_grant())
    return false;
  const wire::RateGrant& grant = reply->rate_grant();
  if (grant.not_leader()) {
    leader_channel_.Redirect(grant.leader_address());
    return false;
  }
  std::lock_guard lock(mutex_);
  leases_.Apply(grant);
  return true;
}

}  // namespace yuccastair::node
