// Applies the rate limits of organisations to requests.

#ifndef YUCCASTAIR_LIB_NODE_RATE_LIMITER_H_
#define YUCCASTAIR_LIB_NODE_RATE_LIMITER_H_

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "envelope.pb.h"
#include "leader_channel.h"
#include "yuccastair/rates/token_leases.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// Admits requests within the rate and burst of their organisation.
///
/// One thread exchanges messages with the leader. Requests without a token wait
/// for one, at most kTokenTimeout.
class RateLimiter {
 public:
  static constexpr std::chrono::milliseconds kTokenTimeout{50};

  RateLimiter(const std::string& node_id,
              const std::string& incarnation,
              LeaderChannel& leader_channel);
  ~RateLimiter();

  RateLimiter(const RateLimiter&) = delete;
  RateLimiter& operator=(const RateLimiter&) = delete;

  /// Takes one token. Returns a rejection if none is available in time. The
  /// empty organisation of an open route has no rate limit.
  std::optional<wire::CallReply> Admit(const std::string& organisation,
                                       support::TimePoint deadline);

 private:
  void RunExchanges();
  /// Sends a request to the leader and applies the grant. Returns false if no
  /// grant was received.
  bool ExchangeLeases(const wire::RateRequest& request);

  LeaderChannel& leader_channel_;
  const support::SteadyClock clock_{};
  const support::BootClock lease_clock_{};
  std::mutex mutex_;
  // Signals requests that wait for a token.
  std::condition_variable tokens_granted_;
  // Signals the thread.
  std::condition_variable work_available_;
  // Guarded by mutex_.
  rates::TokenLeases leases_;
  bool has_work_ = false;
  bool stopping_ = false;
  std::thread exchange_thread_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_RATE_LIMITER_H_
