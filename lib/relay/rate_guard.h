// Spends the tokens of organisations for the requests that begin here.

#ifndef YUCCASTAIR_LIB_RELAY_RATE_GUARD_H_
#define YUCCASTAIR_LIB_RELAY_RATE_GUARD_H_

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

/// Waits for a token where there is none, since a lease grows with the traffic
/// and a request to the leader takes a few ms. Where the leader has just said
/// that an organisation has no tokens left, its requests are refused without a
/// wait: they come in numbers, and each one that waits costs as much as one
/// that is served. Used on the thread of its io_context.
class RateGuard {
 public:
  /// \p clock is that of timers, \p lease_clock the one by which token leases
  /// end. \p send sends a request to the leader.
  RateGuard(stream::asio::io_context& context,
            const support::Clock& clock,
            const support::Clock& lease_clock,
            const std::string& node_id,
            const std::string& incarnation,
            std::function<void(const wire::RateRequest&)> send);

  /// Takes a token of \p organisation; returns false if none came in time.
  stream::Task<bool> Take(std::string organisation);

  /// Returns how long a caller should wait that was refused.
  std::chrono::milliseconds RetryAfter(const std::string& organisation) const {
    return leases_.RetryAfter(organisation);
  }

  /// Returns why a request was refused just now.
  rates::Shortage ShortageOf(const std::string& organisation) const {
    return leases_.CurrentShortage(organisation);
  }

  void Apply(const wire::RateGrant& grant);
  /// Sends what is due; called every few ms.
  void Tick();

 private:
  struct Waiter {
    explicit Waiter(stream::asio::io_context& context, support::TimePoint until)
        : timer(context, until) {}

    stream::asio::steady_timer timer;
    bool granted = false;
  };
  struct Queue {
    // Oldest first.
    std::deque<std::shared_ptr<Waiter>> waiters;
    // The leader has said that there are no tokens for more requests.
    support::TimePoint exhausted_until;
  };

  /// Hands the tokens that there are to those that wait.
  void Serve(const std::string& organisation, Queue& queue);

  stream::asio::io_context& context_;
  const support::Clock& clock_;
  const std::function<void(const wire::RateRequest&)> send_;
  rates::TokenLeases leases_;
  std::unordered_map<std::string, Queue> queues_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_RATE_GUARD_H_
