// Decides which requests a stopping relay still takes, and refuses those that
// wait when it ends.

#ifndef YUCCASTAIR_LIB_RELAY_REQUEST_GATE_H_
#define YUCCASTAIR_LIB_RELAY_REQUEST_GATE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "call.h"
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
  class Pass;

 private:
  struct State {
    // Routes without requests have no entry.
    RouteCounts counts;
    std::set<Pass*> passes;
    bool waits_ended = false;
  };

 public:
  /// Counts a request for as long as it exists. May outlive the gate.
  class Pass {
   public:
    Pass(std::shared_ptr<State> state, std::string route)
        : state_(std::move(state)), route_(std::move(route)) {
      ++state_->counts[route_];
      state_->passes.insert(this);
    }
    ~Pass() {
      state_->passes.erase(this);
      const auto found = state_->counts.find(route_);
      if (--found->second == 0)
        state_->counts.erase(found);
    }
    Pass(const Pass&) = delete;
    Pass& operator=(const Pass&) = delete;

    /// Sets the cancellation that EndWaits() notifies. It must exist for as
    /// long as the pass.
    void SetCancellation(Cancellation& cancellation) {
      cancellation_ = &cancellation;
      if (state_->waits_ended)
        cancellation.EndWait();
    }

   private:
    friend class RequestGate;

    const std::shared_ptr<State> state_;
    const std::string route_;
    Cancellation* cancellation_ = nullptr;
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
    return std::make_unique<Pass>(state_, route);
  }

  /// Admits only what the requests inside need to end.
  void Close() { closed_ = true; }
  bool closed() const { return closed_; }
  /// Once closed, admits only what ends by \p time.
  void SetLatestDeadline(support::TimePoint time) { latest_deadline_ = time; }

  /// Ends the waits of all requests inside and of those that enter later: what
  /// has not been sent to a target is refused.
  void EndWaits() {
    state_->waits_ended = true;
    const std::vector<Pass*> passes(state_->passes.begin(),
                                    state_->passes.end());
    for (Pass* pass : passes) {
      if (pass->cancellation_ != nullptr)
        pass->cancellation_->EndWait();
    }
  }

  /// Number of requests from \p origin that were refused.
  std::size_t refused(Origin origin) const {
    const auto found = refused_.find(origin);
    return found == refused_.end() ? 0 : found->second;
  }
  /// The requests that have entered and have no answer yet.
  const RouteCounts& inside() const { return state_->counts; }

 private:
  bool closed_ = false;
  support::TimePoint latest_deadline_ = support::TimePoint::max();
  std::map<Origin, std::size_t> refused_;
  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_REQUEST_GATE_H_
