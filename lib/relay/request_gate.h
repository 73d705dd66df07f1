// Decides which requests a stopping relay still takes.

#ifndef YUCCASTAIR_LIB_RELAY_REQUEST_GATE_H_
#define YUCCASTAIR_LIB_RELAY_REQUEST_GATE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Reason that callers and other relays get for a refusal by the gate.
inline constexpr const char* kRelayIsStopping = "the relay is stopping";

/// Admits requests and counts, by route, those that have no answer yet. Used on
/// one thread.
class RequestGate {
 public:
  using RouteCounts = std::map<std::string, std::size_t>;

  enum class Origin {
    /// A caller on this instance.
    kCaller,
    /// The local target, for a request that it runs.
    kTargetCall,
    /// Another relay, for the local target.
    kRelay,
  };
  /// Counts a request for as long as it exists. May outlive the gate.
  class Pass {
   public:
    Pass(std::shared_ptr<RouteCounts> counts, std::string route)
        : counts_(std::move(counts)), route_(std::move(route)) {
      ++(*counts_)[route_];
    }
    ~Pass() {
      const auto found = counts_->find(route_);
      if (--found->second == 0)
        counts_->erase(found);
    }
    Pass(const Pass&) = delete;
    Pass& operator=(const Pass&) = delete;

   private:
    const std::shared_ptr<RouteCounts> counts_;
    const std::string route_;
  };

  /// Returns null if the request must be refused. \p deadline is the latest
  /// time at which it ends.
  std::unique_ptr<Pass> Enter(const std::string& route,
                              Origin origin,
                              support::TimePoint deadline) {
    const bool needed =
        origin == Origin::kTargetCall && deadline <= latest_deadline_;
    if (closed_ && !needed) {
      ++refused_[origin];
      return nullptr;
    }
    return std::make_unique<Pass>(counts_, route);
  }

  /// Admits only what the requests inside need to end.
  void Close() { closed_ = true; }
  bool closed() const { return closed_; }
  /// Once closed, admits only what ends by \p time.
  void SetLatestDeadline(support::TimePoint time) { latest_deadline_ = time; }

  /// Number of requests from \p origin that were refused.
  std::size_t refused(Origin origin) const {
    const auto found = refused_.find(origin);
    return found == refused_.end() ? 0 : found->second;
  }
  /// The requests that have entered and have no answer yet.
  const RouteCounts& inside() const { return *counts_; }

 private:
  bool closed_ = false;
  support::TimePoint latest_deadline_ = support::TimePoint::max();
  std::map<Origin, std::size_t> refused_;
  // Routes without requests have no entry.
  const std::shared_ptr<RouteCounts> counts_ = std::make_shared<RouteCounts>();
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_REQUEST_GATE_H_
