// Notices that this process has not run for a while.

#ifndef YUCCASTAIR_LIB_NODE_RECEIVE_GAP_H_
#define YUCCASTAIR_LIB_NODE_RECEIVE_GAP_H_

#include <chrono>

#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// Bounds how long a received message may have waited in this node's sockets.
///
/// The time left in a call is relative, so a call that waited while the process
/// was frozen would get its whole time again. The receive loop reports each
/// pass; a pass that is far too late means that everything received from then
/// on, until the backlog is gone, may be as old as the gap. Not safe for use by
/// several threads.
class ReceiveGap {
 public:
  /// A pass of the receive loop has ended.
  void OnPass(support::TimePoint now) {
    if (last_pass_ != support::TimePoint() &&
        now - last_pass_ > kLongestNormalGap) {
      gap_ = now - last_pass_;
      gap_counts_until_ = now + kBacklogTime;
    }
    last_pass_ = now;
  }

  /// Upper bound of the wait of a message received at \p now; zero in normal
  /// operation.
  support::Duration MaxWait(support::TimePoint now) const {
    if (last_pass_ != support::TimePoint() &&
        now - last_pass_ > kLongestNormalGap)
      return now - last_pass_;
    return now < gap_counts_until_ ? gap_ : support::Duration{};
  }

 private:
  // The loop passes every 20 ms; a busy machine may delay it for a while.
  static constexpr std::chrono::milliseconds kLongestNormalGap{200};
  static constexpr std::chrono::milliseconds kBacklogTime{500};

  support::TimePoint last_pass_;
  support::Duration gap_{};
  support::TimePoint gap_counts_until_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_RECEIVE_GAP_H_
