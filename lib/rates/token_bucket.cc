// Token bucket level with late records of spent tokens.

#include "yuccastair/rates/token_bucket.h"

#include <algorithm>

namespace yuccastair::rates {

TokenBucket::TokenBucket(RateLimit limit,
                         double level,
                         support::TimePoint start)
    : limit_(limit), start_(start), base_level_(std::min(level, limit.burst)) {}

std::uint64_t TokenBucket::SlotAt(support::TimePoint when) const {
  return when <= start_
             ? 0
             : static_cast<std::uint64_t>((when - start_) / kSlotLength);
}

double TokenBucket::Refill(double level, support::Duration time) const {
  const double seconds = std::chrono::duration<double>(time).count();
  return std::min(limit_.burst, level + limit_.rate * seconds);
}

void TokenBucket::AdvanceTo(support::TimePoint now) {
  const std::uint64_t current = SlotAt(now);
  last_slot_ = std::max(last_slot_, current);
  // Skips the slots of an idle time in one step, because they are empty.
  while (last_slot_ - first_slot_ >= kSlotCount) {
    const bool all_empty =
        std::all_of(spent_by_slot_.begin(), spent_by_slot_.end(),
                    [](double tokens) { return tokens == 0; });
    const std::uint64_t steps =
        all_empty ? last_slot_ - first_slot_ - (kSlotCount - 1) : 1;
    double& oldest = spent_by_slot_.at(first_slot_ % kSlotCount);
    base_level_ = Refill(base_level_, kSlotLength * steps) - oldest;
    oldest = 0;
    first_slot_ += steps;
  }
}

double TokenBucket::Level(support::TimePoint now) {
  AdvanceTo(now);
  double level = base_level_;
  for (std::uint64_t slot = first_slot_; slot <= last_slot_; ++slot) {
    const support::TimePoint begin = start_ + kSlotLength * slot;
    const support::TimePoint end =
        std::max(begin, std::min<support::TimePoint>(now, begin + kSlotLength));
    level = Refill(level, end - begin) - spent_by_slot_.at(slot % kSlotCount);
  }
  return level;
}

void TokenBucket::Spend(double tokens,
                        support::TimePoint when,
                        support::TimePoint now) {
  AdvanceTo(now);
  const std::uint64_t slot = std::clamp(SlotAt(when), first_slot_, last_slot_);
  spent_by_slot_.at(slot % kSlotCount) += tokens;
}

void TokenBucket::SetLimit(RateLimit limit, support::TimePoint now) {
  base_level_ = std::min(Level(now), limit.burst);
  limit_ = limit;
  start_ = now;
  first_slot_ = 0;
  last_slot_ = 0;
  spent_by_slot_.fill(0);
}

}  // namespace yuccastair::rates
