// Enforces the rates of organisations on requests that enter at this relay.

#ifndef YUCCASTAIR_LIB_RELAY_RATE_LIMITER_H_
#define YUCCASTAIR_LIB_RELAY_RATE_LIMITER_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "rates.pb.h"
#include "yuccastair/rates/token_leases.h"
#include "yuccastair/stream/types.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Takes tokens from the leases of this relay. A request without a token waits,
/// because leases grow with the traffic and a request to the leader takes a few
/// ms. If the leader has just reported that an organisation has no tokens left,
/// its requests are rejected without waiting: they arrive in large numbers, and
/// a waiting request costs as much as a served one. Used on the thread of its
/// io_context.
class RateLimiter {
 public:
  /// \p clock is the clock of the timers, \p lease_clock the one by which token
  /// leases expire. \p send sends a request to the leader.
  RateLimiter(stream::asio::io_context& context,
              const support::Clock& clock,
              const support::Clock& lease_clock,
              const std::string& node_id,
              const std::string& incarnation,
              std::function<void(const wire::RateRequest&)> send);

  /// Takes a token of \p organisation; returns false if none arrives in time.
  stream::Task<bool> AcquireToken(std::string organisation);

  /// Returns the time after which a rejected caller should retry.
  std::chrono::milliseconds RetryAfter(const std::string& organisation) const {
    return leases_.RetryAfter(organisation);
  }

  /// Returns the reason for the latest rejection.
  rates::Shortage CurrentShortage(const std::string& organisation) const {
    return leases_.CurrentShortage(organisation);
  }

  void ApplyGrant(const wire::RateGrant& grant);
  /// Sends a due request to the leader; called every few ms.
  void Tick();

 private:
  struct Waiter {
    explicit Waiter(stream::asio::io_context& context, support::TimePoint until)
        : timer(context, until) {}

    stream::asio::steady_timer timer;
    bool granted = false;
  };
  struct OrganisationQueue {
    // In order of arrival.
    std::deque<std::shared_ptr<Waiter>> waiters;
    // Until then, the leader has no tokens for further requests.
    support::TimePoint exhausted_until;
  };

  /// Gives the available tokens to the waiting requests.
  void GrantTokens(const std::string& organisation, OrganisationQueue& queue);

  stream::asio::io_context& context_;
  const support::Clock& clock_;
  const std::function<void(const wire::RateRequest&)> send_;
  rates::TokenLeases leases_;
  std::unordered_map<std::string, OrganisationQueue> queues_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_RATE_LIMITER_H_
