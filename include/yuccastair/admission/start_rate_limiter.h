// Limits the rate at which calls start on a cold target.

#ifndef YUCCASTAIR_ADMISSION_START_RATE_LIMITER_H_
#define YUCCASTAIR_ADMISSION_START_RATE_LIMITER_H_

#include <algorithm>
#include <chrono>

#include "yuccastair/support/clock.h"

namespace yuccastair::admission {

/// A token bucket that is empty when a cold start begins. In any second at most
/// (1 + kBurstShare) times the rate plus one calls start.
class StartRateLimiter {
 public:
  /// Fraction of a second's calls that may start at once. It leaves a target
  /// that collapses above 1.5 times its rate a margin for calls that arrive
  /// late.
  static constexpr double kBurstShare = 0.2;

  StartRateLimiter(double per_second, support::TimePoint now)
      : per_second_(per_second), updated_at_(now) {}

  void SetRate(double per_second, support::TimePoint now) {
    Refill(now);
    per_second_ = per_second;
  }

  void Restart(support::TimePoint now) {
    tokens_ = 0;
    updated_at_ = now;
  }

  bool HasToken(support::TimePoint now) {
    Refill(now);
    return tokens_ >= 1;
  }

  /// Returns the number of calls that can start from \p now until \p wait has
  /// passed.
  double StartsWithin(support::TimePoint now, support::Duration wait) {
    Refill(now);
    const std::chrono::duration<double> seconds = wait;
    return std::max(0.0, tokens_ + seconds.count() * per_second_);
  }

  void TakeToken(support::TimePoint now) {
    Refill(now);
    tokens_ -= 1;
  }

 private:
  void Refill(support::TimePoint now) {
    const std::chrono::duration<double> passed = now - updated_at_;
    updated_at_ = now;
    tokens_ = std::min(std::max(1.0, per_second_ * kBurstShare),
                       tokens_ + passed.count() * per_second_);
  }

  double per_second_;
  // At most max(1, kBurstShare * per_second_).
  double tokens_ = 0;
  support::TimePoint updated_at_;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_START_RATE_LIMITER_H_
