// A token bucket that accepts late records of spent tokens.

#ifndef YUCCASTAIR_RATES_TOKEN_BUCKET_H_
#define YUCCASTAIR_RATES_TOKEN_BUCKET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "yuccastair/rates/rate_limit.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::rates {

/// Computes the level of a token bucket as if every token were recorded at the
/// time at which it was spent.
///
/// Spent tokens are recorded in time slots of length kSlotLength and count from
/// the end of their slot. Tokens that are recorded too late for their slot
/// count from the oldest slot. Both shift them to a later time, which never
/// raises the level, so the level never exceeds the exact one.
class TokenBucket {
 public:
  static constexpr std::chrono::milliseconds kSlotLength{10};
  static constexpr std::size_t kSlotCount = 64;

  /// Starts with \p level tokens at \p start.
  TokenBucket(RateLimit limit, double level, support::TimePoint start);

  /// Returns the level in tokens at \p now, which must not precede the start.
  /// It is negative if the burst was lowered below the tokens already granted.
  double Level(support::TimePoint now);

  /// Records that \p tokens were spent no later than \p when.
  void Spend(double tokens, support::TimePoint when, support::TimePoint now);

  /// Applies another limit from \p now on.
  void SetLimit(RateLimit limit, support::TimePoint now);

  const RateLimit& limit() const { return limit_; }

 private:
  std::uint64_t SlotAt(support::TimePoint when) const;
  /// Folds slots that are too old into base_level_, and opens the slots up to
  /// \p now.
  void AdvanceTo(support::TimePoint now);
  double Refill(double level, support::Duration time) const;

  RateLimit limit_;
  support::TimePoint start_;
  // Level at the beginning of slot first_slot_.
  double base_level_;
  std::uint64_t first_slot_ = 0;
  // The newest slot in use; last_slot_ - first_slot_ < kSlotCount.
  std::uint64_t last_slot_ = 0;
  // Spent tokens by slot number modulo kSlotCount; 0 outside [first_slot_,
  // last_slot_].
  std::array<double, kSlotCount> spent_by_slot_{};
};

}  // namespace yuccastair::rates

#endif  // YUCCASTAIR_RATES_TOKEN_BUCKET_H_
