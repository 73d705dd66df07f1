// Token bucket level with late records of spent tokens.

#include "yuccastair/rates/token_bucket.h"

#include <algorithm>

namespace yuccastair::rates {

TokenBucket::TokenBucket(RateLimit limit,
                         double level,
                         support::TimePoint start)
    : limit_(limit), start_(start), base_(std::min(level, limit.burst)) {}

std::uint64_t TokenBucket::SlotOf(support::TimePoint when) const {
  return when <= start_ ? 0
                        : static_cast<std::uint64_t>((when - start_) / kSlot);
}

double TokenBucket::Refill(double level, support::Duration time) const {
  const double seconds = std::chrono::duration<double>(time).count();
  return std::min(limit_.burst, level + limit_.rate * seconds);
}

void TokenBucket::MoveTo(support::TimePoint now) {
  const std::uint64_t current = SlotOf(now);
  last_ = std::max(last_, current);
  // Skips the slots of an idle time in one step, because they are empty.
  while (last_ - first_ >= kSlots) {
    const bool all_folded =
        std::all_of(spent_.begin(), spent_.end(),
                    [](double tokens) { return tokens == 0; });
    const std::uint64_t steps = all_folded ? last_ - first_ - (kSlots - 1) : 1;
    double& oldest = spent_.at(first_ % kSlots);
    base_ = Refill(base_, kSlot * steps) - oldest;
    oldest = 0;
    first_ += steps;
  }
}

double TokenBucket::Level(support::TimePoint now) {
  MoveTo(now);
  double level = base_;
  for (std::uint64_t slot = first_; slot <= last_; ++slot) {
    const support::TimePoint begin = start_ + kSlot * slot;
    const support::TimePoint end =
        std::max(begin, std::min<support::TimePoint>(now, begin + kSlot));
    level = Refill(level, end - begin) - spent_.at(slot % kSlots);
  }
  return level;
}

void TokenBucket::Spend(double tokens,
                        support::TimePoint when,
                        support::TimePoint now) {
  MoveTo(now);
  const std::uint64_t slot = std::clamp(SlotOf(when), first_, last_);
  spent_.at(slot % kSlots) += tokens;
}

void TokenBucket::SetLimit(RateLimit limit, support::TimePoint now) {
  base_ = std::min(Level(now), limit.burst);
  limit_ = limit;
  start_ = now;
  first_ = 0;
  last_ = 0;
  spent_.fill(0);
}

}  // namespace yuccastair::rates
