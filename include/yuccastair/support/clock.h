// The clock that decisions read, so that tests can drive time by hand.

#ifndef YUCCASTAIR_SUPPORT_CLOCK_H_
#define YUCCASTAIR_SUPPORT_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <ctime>

namespace yuccastair::support {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// A source of monotonic time.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

/// The monotonic clock of the machine; clock steps do not affect it. It stands
/// still while the machine is suspended, as the timers do, so it must not
/// decide how long a promise of another process holds.
class SteadyClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
};

/// The time since the machine was started, suspensions included: for leases and
/// for the age of what other processes have said. Its times are not those of
/// timers.
class BootClock final : public Clock {
 public:
  TimePoint Now() const override {
    timespec time{};
    // Cannot fail: the clock exists on every Linux, and the argument is valid.
    (void)clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) +
                     std::chrono::nanoseconds(time.tv_nsec));
  }
};

/// A clock that moves only when told to. Not safe for use by several threads.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  void Advance(Duration by) { now_ += by; }

 private:
  // Starts away from the epoch, so that subtracting a timeout stays positive.
  TimePoint now_{std::chrono::hours(1)};
};

/// Returns the Unix time in ms. It may jump, so it only orders starts of
/// processes and dates records.
inline std::int64_t WallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace yuccastair::support

#endif  // YUCCASTAIR_SUPPORT_CLOCK_H_
