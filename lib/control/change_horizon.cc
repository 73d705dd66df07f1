// Samples the number of applied changes.

#include "change_horizon.h"

namespace yuccastair::control {

void ChangeHorizon::Update(std::uint64_t applied) {
  const support::TimePoint now = clock_.Now();
  if (!samples_.empty() && now < sampled_at_ + kSampleInterval)
    return;
  sampled_at_ = now;
  samples_.push_back(applied);
  if (samples_.size() > kSampleCount)
    samples_.pop_front();
}

}  // namespace yuccastair::control
