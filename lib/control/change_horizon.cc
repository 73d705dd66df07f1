// Samples the number of applied changes.

#include "change_horizon.h"

#include <algorithm>

namespace yuccastair::control {

void ChangeHorizon::Update(std::uint64_t applied) {
  const support::TimePoint now = clock_.Now();
  if (!samples_.empty() && now < sampled_at_ + kSampleInterval)
    return;
  sampled_at_ = now;
  samples_.push_back(applied);
  if (samples_.size() > kSampleCount)
    samples_.pop_front();
  if (!changes_.empty() && changes_.back().applied == applied)
    return;
  changes_.push_back({now, applied});
  if (changes_.size() > kMaxChanges)
    changes_.pop_front();
}

std::uint64_t ChangeHorizon::AppliedBy(support::TimePoint time) const {
  const auto found = std::find_if(
      changes_.rbegin(), changes_.rend(),
      [time](const Change& change) { return change.seen_at <= time; });
  return found == changes_.rend() ? 0 : found->applied;
}

std::uint64_t ChangeHorizon::AppliedBefore(
    support::Duration max_transit) const {
  if (samples_.size() < kSampleCount)
    return 0;
  return std::min(samples_.front(), AppliedBy(clock_.Now() - max_transit));
}

}  // namespace yuccastair::control
