// A token bucket that accepts spendings after the fact.

#ifndef YUCCASTAIR_RATES_TOKEN_BUCKET_H_
#define YUCCASTAIR_RATES_TOKEN_BUCKET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "yuccastair/rates/rate_limit.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::rates {

/// The level that a token bucket would have, had it seen every spending at the
/// time at which it happened.
///
/// Spendings are recorded in slots of kSlot and count from the end of their
/// slot. A spending that is recorded too late for its slot counts from the
/// oldest slot. Both move it to a later time, which never raises the level, so
/// the level never exceeds the exact one.
class TokenBucket {
 public:
  static constexpr std::chrono::milliseconds kSlot{10};
  static constexpr std::size_t kSlots = 64;

  /// Starts with \p level tokens at \p start.
  TokenBucket(RateLimit limit, double level, support::TimePoint start);

  /// Returns the level at \p now, which must not be before the start. Negative
  /// after a burst was lowered below what had been granted.
  double Level(support::TimePoint now);

  /// Records that \p tokens were spent at \p when or before.
  void Spend(double tokens, support::TimePoint when, support::TimePoint now);

  /// Applies another limit from \p now on.
  void SetLimit(RateLimit limit, support::TimePoint now);

  const RateLimit& limit() const { return limit_; }

 private:
  std::uint64_t SlotOf(support::TimePoint when) const;
  /// Drops slots that are too old to be kept, and opens those up to \p now.
  void MoveTo(support::TimePoint now);
  double Refill(double level, support::Duration time) const;

  RateLimit limit_;
  support::TimePoint start_;
  // Level at the begin of slot first_.
  double base_;
  std::uint64_t first_ = 0;
  // The newest slot in use; last_ - first_ < kSlots.
  std::uint64_t last_ = 0;
  // By slot number modulo kSlots; 0 outside [first_, last_].
  std::array<double, kSlots> spent_{};
};

}  // namespace yuccastair::rates

#endif  // YUCCASTAIR_RATES_TOKEN_BUCKET_H_
