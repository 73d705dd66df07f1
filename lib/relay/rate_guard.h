// Spends the tokens of organisations for the requests that begin here.

#ifndef YUCCASTAIR_LIB_RELAY_RATE_GUARD_H_
#define YUCCASTAIR_LIB_RELAY_RATE_GUARD_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "rates.pb.h"
#include "yuccastair/rates/token_leases.h"
#include "yuccastair/stream/types.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Waits for a token where there is none, since a lease grows with the traffic
/// and a request to the leader takes a few ms. Used on the thread of its
/// io_context.
class RateGuard {
 public:
  /// \p send sends a request to the leader.
  RateGuard(stream::asio::io_context& context,
            const support::Clock& clock,
            const std::string& node_id,
            const std::string& incarnation,
            std::function<void(const wire::RateRequest&)> send);

  /// Takes a token of \p organisation; returns false if none came in time.
  stream::Task<bool> Take(std::string organisation);

  /// Returns how long a caller should wait that was refused.
  std::chrono::milliseconds RetryAfter(const std::string& organisation) const {
    return leases_.RetryAfter(organisation);
  }

  void Apply(const wire::RateGrant& grant);
  /// Sends what is due; called every few ms.
  void Tick();

 private:
  using Waiter = std::shared_ptr<stream::asio::steady_timer>;

  stream::asio::io_context& context_;
  const support::Clock& clock_;
  const std::function<void(const wire::RateRequest&)> send_;
  rates::TokenLeases leases_;
  // Requests that wait, oldest first; woken by every grant.
  std::list<Waiter> waiters_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_RATE_GUARD_H_
