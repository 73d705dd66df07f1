// Actions of a single-threaded model, in the order of a manual clock.

#ifndef YUCCASTAIR_RIG_EVENT_QUEUE_H_
#define YUCCASTAIR_RIG_EVENT_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "yuccastair/support/clock.h"

namespace yuccastair {

/// Actions that are due at the same time are run in the order in which they
/// were scheduled.
class EventQueue {
 public:
  using Microseconds = std::chrono::microseconds;

  support::ManualClock& clock() { return clock_; }
  support::TimePoint Now() const { return clock_.Now(); }

  void Schedule(Microseconds in, std::function<void()> action) {
    events_.push({clock_.Now() + in, sequence_++, std::move(action)});
  }

  void RunFor(Microseconds time) {
    const auto end = clock_.Now() + time;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      clock_.Advance(event.at - clock_.Now());
      event.action();
    }
    clock_.Advance(end - clock_.Now());
  }

 private:
  struct Event {
    support::TimePoint at;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  support::ManualClock clock_;
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_RIG_EVENT_QUEUE_H_
