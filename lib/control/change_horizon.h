// The changes that an operator's request certainly follows.

#ifndef YUCCASTAIR_LIB_CONTROL_CHANGE_HORIZON_H_
#define YUCCASTAIR_LIB_CONTROL_CHANGE_HORIZON_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Remembers how many changes this process had applied a short while ago.
///
/// While a process is suspended, requests wait in its sockets. When it wakes,
/// it may apply the changes that it has missed before it reads such a request,
/// which then looks newer than they are. Requests are therefore related to the
/// oldest of several samples of the number of changes. A suspension adds one
/// sample, however long it lasts, so the oldest sample was taken before it
/// until the process has run for kSampleCount intervals.
///
/// The cost does not depend on the number of requests: one sample is taken in
/// each interval.
class ChangeHorizon {
 public:
  static constexpr std::chrono::milliseconds kSampleInterval{100};
  static constexpr std::size_t kSampleCount = 5;
  /// A request that may have been sent before the last kMaxChanges changes is
  /// taken to precede all changes.
  static constexpr std::size_t kMaxChanges = 64;

  explicit ChangeHorizon(const support::Clock& clock) : clock_(clock) {}

  /// Takes a sample if one is due. To be called at least once in each interval;
  /// \p applied is the number of changes that this process has applied.
  void Update(std::uint64_t applied);

  /// Returns how many changes had been applied at least when a request that is
  /// read now was sent. \p max_transit bounds its time in the network.
  std::uint64_t AppliedBefore(support::Duration max_transit) const;

 private:
  struct Change {
    /// Time of the first sample that contains it.
    support::TimePoint seen_at;
    std::uint64_t applied = 0;
  };

  /// Returns the number of changes that had been seen by \p time.
  std::uint64_t AppliedBy(support::TimePoint time) const;

  const support::Clock& clock_;
  // At most kSampleCount, oldest first.
  std::deque<std::uint64_t> samples_;
  // The latest changes, oldest first.
  std::deque<Change> changes_;
  support::TimePoint sampled_at_;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_CHANGE_HORIZON_H_
