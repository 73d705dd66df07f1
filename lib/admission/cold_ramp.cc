// Geometric cold-start ramp, adjusted once per measurement window.

#include "yuccastair/admission/cold_ramp.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace yuccastair::admission {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWindowLength{100};
constexpr std::uint32_t kMinWindowSamples = 4;
constexpr double kSlowLatencyRatio = 2.0;
constexpr double kSlowPace = 0.25;
// With the default ramp of 10 s, a false suspicion costs little over 1 s.
constexpr double kSuspectedPace = 8.0;
constexpr double kFailingShare = 0.1;
// Progress that the ramp loses in each window of failures.
constexpr double kFailureProgressLoss = 0.1;

}  // namespace

ColdRamp::ColdRamp(const support::Clock& clock, ColdOptions options)
    : clock_(clock), options_(options) {}

void ColdRamp::Start(support::Duration baseline, bool suspected) {
  active_ = true;
  suspected_ = suspected;
  progress_ = 0;
  overload_ = 0;
  started_at_ = clock_.Now();
  pace_ = suspected ? kSuspectedPace : 1;
  baseline_ = baseline;
  first_latency_ = {};
  advanced_at_ = clock_.Now();
  window_.Restart(advanced_at_);
}

void ColdRamp::OnFinish(const Sample& sample) {
  if (!active_)
    return;
  window_.OnFinish(sample);
  if (clock_.Now() - window_.started_at() >= kWindowLength &&
      window_.finish_count() >= kMinWindowSamples)
    CloseWindow();
}

void ColdRamp::CloseWindow() {
  Advance();
  const support::Duration latency = window_.MeanLatency();
  if (window_.latency_count() > 0) {
    if (first_latency_.count() == 0)
      first_latency_ = latency;
    // A cold target may be slow even at low load. The ramp reacts only if it
    // becomes slower as the load grows.
    baseline_ = std::max(baseline_, first_latency_);
  }
  const bool failing = window_.FailureShare() >= kFailingShare;
  const bool slow = static_cast<double>(latency.count()) >
                    kSlowLatencyRatio * static_cast<double>(baseline_.count());
  const bool ramp_elapsed = clock_.Now() - started_at_ >= options_.ramp;
  if (slow && !failing && baseline_.count() > 0 &&
      (suspected_ || ramp_elapsed)) {
    overload_ = static_cast<double>(latency.count()) /
                static_cast<double>(baseline_.count());
    return;
  }
  if ((failing || slow) && suspected_) {
    suspected_ = false;
    progress_ /= 2;
  }
  pace_ = suspected_ ? kSuspectedPace : 1;
  if (failing) {
    pace_ = 0;
    progress_ = std::max(0.0, progress_ - kFailureProgressLoss);
  } else if (slow) {
    pace_ = kSlowPace;
  }
  window_.Restart(clock_.Now());
}

void ColdRamp::Advance() {
  const support::TimePoint now = clock_.Now();
  const auto elapsed =
      std::chrono::duration<double, std::milli>(now - advanced_at_).count();
  advanced_at_ = now;
  if (!active_)
    return;
  const auto ramp = static_cast<double>(options_.ramp.count());
  progress_ += ramp <= 0 ? 1.0 : pace_ * elapsed / ramp;
  if (progress_ >= 1)
    active_ = false;
}

std::uint32_t ColdRamp::Cap(std::uint32_t full_limit) const {
  if (!active_)
    return full_limit;
  const double initial = std::max(1u, options_.initial_limit);
  if (initial >= full_limit)
    return full_limit;
  const double cap = initial * std::pow(full_limit / initial, progress_);
  return std::min(full_limit, static_cast<std::uint32_t>(cap));
}

}  // namespace yuccastair::admission
