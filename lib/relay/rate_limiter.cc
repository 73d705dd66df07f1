// Waits for tokens and requests them from the leader.

#include "rate_limiter.h"

#include <algorithm>
#include <utility>

namespace yuccastair::relay {
namespace {

using std::chrono::milliseconds;

// Maximum wait for a token. A request to the leader and its reply take about 3
// ms; a lost message is sent again after 50 ms.
constexpr milliseconds kMaxTokenWait{80};
// Maximum number of waiting requests per organisation.
constexpr std::size_t kMaxWaiters = 64;
// The same for an organisation that exceeds its rate: enough for the tokens
// that accrue during one exchange with the leader.
constexpr std::size_t kMaxWaitersWhenExhausted = 2;
// Time for which a grant with too few tokens is considered current.
constexpr milliseconds kExhaustionTime{100};

}  // namespace

RateLimiter::RateLimiter(stream::asio::io_context& context,
                         const support::Clock& clock,
                         const support::Clock& lease_clock,
                         const std::string& node_id,
                         const std::string& incarnation,
                         std::function<void(const wire::RateRequest&)> send)
    : context_(context),
      clock_(clock),
      send_(std::move(send)),
      leases_(lease_clock, node_id, incarnation) {}

stream::Task<bool> RateLimiter::AcquireToken(std::string organisation) {
  if (leases_.TryTake(organisation))
    co_return true;
  OrganisationQueue& queue = queues_[organisation];
  const bool exhausted = clock_.Now() < queue.exhausted_until;
  if (queue.waiters.size() >=
      (exhausted ? kMaxWaitersWhenExhausted : kMaxWaiters))
    co_return false;
  const auto waiter =
      std::make_shared<Waiter>(context_, clock_.Now() + kMaxTokenWait);
  queue.waiters.push_back(waiter);
  leases_.AddWaiter(organisation);
  Tick();
  co_await waiter->timer.async_wait(stream::kAsTuple);
  leases_.RemoveWaiter(organisation);
  // References into the map stay valid when other entries are added.
  std::erase(queue.waiters, waiter);
  co_return waiter->granted;
}

void RateLimiter::GrantTokens(const std::string& organisation,
                              OrganisationQueue& queue) {
  while (!queue.waiters.empty() && leases_.TryTake(organisation)) {
    queue.waiters.front()->granted = true;
    queue.waiters.front()->timer.cancel();
    queue.waiters.pop_front();
  }
}

void RateLimiter::ApplyGrant(const wire::RateGrant& grant) {
  leases_.Apply(grant);
  for (const wire::LeaseGrant& lease : grant.grants()) {
    const auto found = queues_.find(lease.organisation());
    if (found == queues_.end())
      continue;
    GrantTokens(found->first, found->second);
    if (lease.retry_after_ms() > 0)
      found->second.exhausted_until = clock_.Now() + kExhaustionTime;
  }
}

void RateLimiter::Tick() {
  if (const auto request = leases_.NextRequest())
    send_(*request);
}

}  // namespace yuccastair::relay
