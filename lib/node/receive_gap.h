// Detects that the process was suspended for a time.

#ifndef YUCCASTAIR_LIB_NODE_RECEIVE_GAP_H_
#define YUCCASTAIR_LIB_NODE_RECEIVE_GAP_H_

#include <chrono>

#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// Bounds how long a received message may have waited in this node's sockets.
///
/// A call carries its remaining time, so a call that waited while the process
/// was suspended would get that time again in full. The receive loop reports
/// each iteration. After a long gap between two iterations, every message may
/// be as old as the gap until the backlog is processed. Not safe for use by
/// several threads.
class ReceiveGap {
 public:
  /// To be called at the end of each iteration of the receive loop.
  void OnLoopIteration(support::TimePoint now) {
    if (last_iteration_ != support::TimePoint() &&
        now - last_iteration_ > kMaxNormalGap) {
      gap_ = now - last_iteration_;
      gap_applies_until_ = now + kMaxBacklogTime;
    }
    last_iteration_ = now;
  }

  /// Returns an upper bound of the time that a message received at \p now has
  /// waited; zero in normal operation.
  support::Duration MaxSocketDelay(support::TimePoint now) const {
    if (last_iteration_ != support::TimePoint() &&
        now - last_iteration_ > kMaxNormalGap)
      return now - last_iteration_;
    return now < gap_applies_until_ ? gap_ : support::Duration{};
  }

 private:
  // The loop iterates every 20 ms; a busy instance may delay it.
  static constexpr std::chrono::milliseconds kMaxNormalGap{200};
  static constexpr std::chrono::milliseconds kMaxBacklogTime{500};

  support::TimePoint last_iteration_;
  support::Duration gap_{};
  support::TimePoint gap_applies_until_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_RECEIVE_GAP_H_
