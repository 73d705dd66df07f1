// Connections to the local target.

#ifndef YUCCASTAIR_LIB_NODE_TARGET_POOL_H_
#define YUCCASTAIR_LIB_NODE_TARGET_POOL_H_

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
class TargetPool {
 public:
  struct Lease {
    std::unique_ptr<http::Client> client;
    support::Address address;
    std::uint64_t generation = 0;
  };

  Lease Take(const support::Address& address) {
    std::lock_guard lock(mutex_);
    const auto oldest = support::SteadyClock().Now() - kMaxIdle;
    while (!idle_.empty()) {
      Idle idle = std::move(idle_.back());
      idle_.pop_back();
      if (idle.lease.address == address && idle.since > oldest)
        return std::move(idle.lease);
    }
    return {std::make_unique<http::Client>(address), address, generation_};
  }

  void Put(Lease lease) {
    std::lock_guard lock(mutex_);
    if (lease.generation != generation_)
      return;
    idle_.push_back({std::move(lease), support::SteadyClock().Now()});
  }

  /// Closes all idle connections now, and those in use when they are put back.
  /// Used after one connection timed out, because the others may hang too.
  void Replace() {
    std::lock_guard lock(mutex_);
    ++generation_;
    idle_.clear();
  }

 private:
  struct Idle {
    Lease lease;
    support::TimePoint since;
  };

  // Targets close idle connections after a timeout. A connection that is just
  // being closed would make the next exchange fail.
  static constexpr std::chrono::seconds kMaxIdle{4};

  std::mutex mutex_;
  std::uint64_t generation_ = 0;
  // Least recently used first.
  std::vector<Idle> idle_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_TARGET_POOL_H_
