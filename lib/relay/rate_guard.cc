// Waits for tokens and asks the leader for them.

#include "rate_guard.h"

#include <utility>

namespace yuccastair::relay {
namespace {

// Longest wait for a token. A request and its answer take about 3 ms; a lost
// message is sent again after 50 ms.
constexpr std::chrono::milliseconds kTokenWait{120};
// Bounds the requests that wait; further ones are refused at once.
constexpr std::size_t kMaxWaiters = 512;

}  // namespace

RateGuard::RateGuard(stream::asio::io_context& context,
                     const support::Clock& clock,
                     const std::string& node_id,
                     const std::string& incarnation,
                     std::function<void(const wire::RateRequest&)> send)
    : context_(context),
      clock_(clock),
      send_(std::move(send)),
      leases_(clock, node_id, incarnation) {}

stream::Task<bool> RateGuard::Take(std::string organisation) {
  if (leases_.TryTake(organisation))
    co_return true;
  if (waiters_.size() >= kMaxWaiters)
    co_return false;
  const support::TimePoint until = clock_.Now() + kTokenWait;
  leases_.AddWaiter(organisation);
  bool taken = false;
  while (!taken && clock_.Now() < until) {
    Tick();
    const auto timer =
        std::make_shared<stream::asio::steady_timer>(context_, until);
    const auto place = waiters_.insert(waiters_.end(), timer);
    co_await timer->async_wait(stream::kAsTuple);
    waiters_.erase(place);
    taken = leases_.TryTake(organisation);
  }
  leases_.RemoveWaiter(organisation);
  co_return taken;
}

void RateGuard::Apply(const wire::RateGrant& grant) {
  leases_.Apply(grant);
  for (const Waiter& waiter : waiters_)
    waiter->cancel();
}

void RateGuard::Tick() {
  if (const auto request = leases_.NextRequest())
    send_(*request);
}

}  // namespace yuccastair::relay
