// Connections to the local target.

#ifndef YUCCASTAIR_LIB_NODE_TARGET_CONNECTION_POOL_H_
#define YUCCASTAIR_LIB_NODE_TARGET_CONNECTION_POOL_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "yuccastair/http/client.h"
#include "yuccastair/support/address.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// Provides clients, most recently used first, so that there are no more
/// connections than concurrent calls. Safe for use by several threads.
class TargetConnectionPool {
 public:
  struct PooledClient {
    std::unique_ptr<http::Client> client;
    support::Address address;
    std::uint64_t generation = 0;
  };

  PooledClient Acquire(const support::Address& address) {
    std::lock_guard lock(mutex_);
    const auto idle_cutoff = support::SteadyClock().Now() - kMaxIdleTime;
    while (!idle_clients_.empty()) {
      IdleClient idle = std::move(idle_clients_.back());
      idle_clients_.pop_back();
      if (idle.pooled_client.address == address && idle.since > idle_cutoff)
        return std::move(idle.pooled_client);
    }
    return {std::make_unique<http::Client>(address), address, generation_};
  }

  void Release(PooledClient pooled_client) {
    std::lock_guard lock(mutex_);
    if (pooled_client.generation != generation_)
      return;
    idle_clients_.push_back(
        {std::move(pooled_client), support::SteadyClock().Now()});
  }

  /// Closes all idle connections now, and those in use when they are put back.
  /// Used after one connection timed out, because the others may hang too.
  void DiscardAll() {
    std::lock_guard lock(mutex_);
    ++generation_;
    idle_clients_.clear();
  }

 private:
  struct IdleClient {
    PooledClient pooled_client;
    support::TimePoint since;
  };

  // Targets close idle connections after a timeout. A connection that is just
  // being closed would make the next exchange fail.
  static constexpr std::chrono::seconds kMaxIdleTime{4};

  std::mutex mutex_;
  std::uint64_t generation_ = 0;
  // Least recently used first.
  std::vector<IdleClient> idle_clients_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_TARGET_CONNECTION_POOL_H_
