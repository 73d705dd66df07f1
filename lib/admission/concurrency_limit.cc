// Adapts the concurrency limit once per measurement window.

#include "yuccastair/admission/concurrency_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace yuccastair::admission {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinWindowLength{50};
constexpr milliseconds kMaxWindowLength{1000};
// With 100 samples, the mean of a latency whose deviation is half its mean has
// a standard error of 5%, which is accurate enough to evaluate a step of 40%
// (kStepLimitFactor).
constexpr std::uint32_t kMinWindowSamples = 30;
constexpr std::uint32_t kMaxWindowSamples = 100;
constexpr std::uint32_t kMinWindowFailures = 3;
constexpr double kFailingShare = 0.1;
constexpr double kFailingLimitFactor = 0.5;
constexpr double kMostlyFailingShare = 0.5;
constexpr double kMostlyFailingLimitFactor = 0.25;
// Failures depend on the concurrency if a step reduces their share to less than
// this fraction of its previous value.
constexpr double kMaxRemainingFailureRatio = 0.7;
// Relative response of latency to a step: 1 if latency falls in proportion to
// the concurrency, as at a target that only queues, and 0 if it does not fall.
constexpr double kMinLatencyResponse = 0.5;
constexpr double kFullLatencyResponse = 0.85;
// Latency may exceed the baseline by kGrowthLatencyRatio before growth stops,
// and by kStepLatencyRatio before the limit is lowered. Too low a limit costs
// goodput; too high a limit only moves queueing into the target.
constexpr double kGrowthLatencyRatio = 1.3;
constexpr double kStepLatencyRatio = 1.5;
constexpr double kStepLimitFactor = 0.6;
constexpr double kJumpLatencyRatio = 4.0;
// A step costs at most 40% of the capacity for about two windows.
constexpr milliseconds kMinStepInterval{5000};
constexpr int kMinWindowsBetweenSteps = 40;
constexpr double kFasterServiceRatio = 0.8;
constexpr double kBaselineFallWeight = 0.2;
constexpr double kBaselineDriftWeight = 0.1;

double Ratio(support::Duration a, support::Duration b) {
  return b.count() == 0
             ? 1.0
             : static_cast<double>(a.count()) / static_cast<double>(b.count());
}

support::Duration Blend(support::Duration old,
                        support::Duration sample,
                        double weight) {
  return support::Duration(static_cast<support::Duration::rep>(
      static_cast<double>(old.count()) * (1 - weight) +
      static_cast<double>(sample.count()) * weight));
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const support::Clock& clock,
                                   LimitOptions options)
    : clock_(clock),
      options_(options),
      limit_(options.initial),
      // Growth is fast until latency first rises.
      proven_limit_(options.max),
      last_step_(clock.Now()) {
  SetLimit(limit_);
  RestartWindow();
}

void ConcurrencyLimit::SetOptions(LimitOptions options) {
  options_ = options;
  SetLimit(limit_);
}

std::uint32_t ConcurrencyLimit::limit() const {
  return static_cast<std::uint32_t>(limit_);
}

void ConcurrencyLimit::OnStart(std::uint32_t running) {
  window_.OnStart(running);
}

std::optional<support::Duration> ConcurrencyLimit::OnFinish(
    const Sample& sample) {
  window_.OnFinish(sample);
  return WindowComplete() ? CloseWindow() : std::nullopt;
}

void ConcurrencyLimit::ResetBaseline(support::Duration latency) {
  baseline_ = latency;
  step_.reset();
  RestartWindow();
}

void ConcurrencyLimit::Restart(double limit, support::Duration baseline) {
  proven_limit_ = 0;
  SetLimit(limit);
  ResetBaseline(baseline);
  // The ramp measures its baseline from few calls. A baseline that is too low
  // would stop growth for kMinStepInterval.
  verify_baseline_ = true;
}

void ConcurrencyLimit::RestartWindow() {
  window_.Restart(clock_.Now());
}

bool ConcurrencyLimit::Failing() const {
  return window_.failure_count() >= kMinWindowFailures &&
         window_.FailureShare() >= kFailingShare &&
         clock_.Now() >= ignore_failures_until_;
}

bool ConcurrencyLimit::WindowComplete() const {
  const auto elapsed = clock_.Now() - window_.started_at();
  const auto wanted = std::clamp<support::Duration>(
      2 * baseline_, kMinWindowLength, kMaxWindowLength);
  if (elapsed < wanted)
    return false;
  const auto samples =
      std::clamp(2 * limit(), kMinWindowSamples, kMaxWindowSamples);
  return window_.finish_count() >= samples ||
         (window_.finish_count() > 0 && elapsed >= 4 * wanted);
}

std::optional<support::Duration> ConcurrencyLimit::CloseWindow() {
  std::optional<support::Duration> jump;
  if (step_ && step_->failure_share > 0 && !step_->drained) {
    step_->drained = true;
  } else if (step_) {
    const Step step = *step_;
    step_.reset();
    if (step.failure_share > 0)
      EvaluateFailureStep(step);
    else
      EvaluateStep(step);
  } else if (Failing()) {
    proven_limit_ = std::max(proven_limit_, limit_);
    StepDown(window_.FailureShare() >= kMostlyFailingShare
                 ? kMostlyFailingLimitFactor
                 : kFailingLimitFactor);
    step_->failure_share = window_.FailureShare();
  } else if (window_.latency_count() > 0 && AdaptLimit()) {
    jump = window_.MeanLatency();
  }
  RestartWindow();
  return jump;
}

void ConcurrencyLimit::EvaluateFailureStep(const Step& step) {
  if (window_.FailureShare() < kMaxRemainingFailureRatio * step.failure_share)
    return;
  SetLimit(step.limit);
  ignore_failures_until_ = clock_.Now() + kMinStepInterval;
}

void ConcurrencyLimit::EvaluateStep(const Step& step) {
  const double concurrency = window_.MeanRunning() / step.mean_running;
  if (concurrency > 0.9 || window_.latency_count() == 0 ||
      window_.FailureShare() >= kFailingShare) {
    // Demand bounds the concurrency, or the latency is not the service time, so
    // the step is inconclusive.
    SetLimit(step.limit);
    return;
  }
  const support::Duration latency = window_.MeanLatency();
  const double latency_response =
      (1 - Ratio(latency, step.latency)) / (1 - concurrency);
  verify_baseline_ = latency_response > kFullLatencyResponse;
  if (latency_response < kMinLatencyResponse) {
    baseline_ = latency;
    SetLimit(step.limit);
    return;
  }
  baseline_ = std::min(baseline_, latency);
  // By Little's law, the concurrency at which the target is just saturated,
  // plus the queueing that growth tolerates.
  SetLimit(std::max(limit_, step.mean_running * Ratio(latency, step.latency) *
                                kGrowthLatencyRatio));
}

bool ConcurrencyLimit::AdaptLimit() {
  if (window_.FailureShare() >= kFailingShare)
    // The latency of calls that timed out is no measure of the service time.
    return false;
  const support::Duration latency = window_.MeanLatency();
  if (baseline_.count() == 0)
    baseline_ = latency;
  const double peak = window_.peak_running();
  if (peak < limit_ / 2) {
    // The limit has no effect at this load, so only the baseline is updated.
    baseline_ = Blend(baseline_, latency, kBaselineDriftWeight);
    return false;
  }
  const double ratio = Ratio(latency, baseline_);
  if (ratio < kFasterServiceRatio) {
    // The service time has fallen, so the limit may be far too high.
    baseline_ = latency;
    verify_baseline_ = true;
  } else if (ratio < 1) {
    baseline_ = Blend(baseline_, latency, kBaselineFallWeight);
  }
  if (ratio >= kJumpLatencyRatio)
    return true;
  // Compares with the whole calls that the limit allows: a limit of 4.6 allows
  // 4 calls, which are less than 90% of it.
  const bool used = peak >= 0.9 * limit();
  const auto window = clock_.Now() - window_.started_at();
  const auto interval = std::max<support::Duration>(
      kMinStepInterval, kMinWindowsBetweenSteps * window);
  const bool due = verify_baseline_ || clock_.Now() - last_step_ >= interval;
  if (ratio > kStepLatencyRatio || (used && due)) {
    if (ratio > kGrowthLatencyRatio)
      proven_limit_ = 0;
    StepDown(kStepLimitFactor);
  } else if (used && ratio <= kGrowthLatencyRatio) {
    Grow();
  }
  return false;
}

void ConcurrencyLimit::Grow() {
  const bool recovering = limit_ < proven_limit_ / 2;
  SetLimit(limit_ +
           (recovering ? limit_ / 2 : std::max(1.0, std::sqrt(limit_))));
  if (!recovering)
    proven_limit_ = 0;
}

void ConcurrencyLimit::StepDown(double factor) {
  last_step_ = clock_.Now();
  step_ = Step{limit_, window_.MeanRunning(), window_.MeanLatency()};
  // Lowering a limit that is far above the concurrency in use has no effect.
  SetLimit(std::min(limit_, window_.MeanRunning()) * factor);
}

void ConcurrencyLimit::SetLimit(double limit) {
  limit_ = std::clamp(limit, static_cast<double>(options_.min),
                      static_cast<double>(options_.max));
}

}  // namespace yuccastair::admission
