// Adapts the concurrency limit once per measurement window.

#include "yuccastair/admission/concurrency_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace yuccastair::admission {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinWindow{50};
constexpr milliseconds kMaxWindow{1000};
// With 100 samples, the mean of a latency whose deviation is half its mean has
// a standard error of 5%, which is accurate enough to evaluate a step of 40%
// (kStepFactor).
constexpr std::uint32_t kMinSamples = 30;
constexpr std::uint32_t kMaxSamples = 100;
constexpr std::uint32_t kMinFailures = 3;
constexpr double kFailureShare = 0.1;
constexpr double kFailureFactor = 0.5;
constexpr double kMostlyFailing = 0.5;
constexpr double kMostlyFailingFactor = 0.25;
// Failures depend on the concurrency if a step reduces their share to less than
// this fraction of its previous value.
constexpr double kFailureFollow = 0.7;
// Relative response of latency to a step: 1 if latency falls in proportion to
// the concurrency, as at a target that only queues, and 0 if it does not fall.
constexpr double kFollowed = 0.5;
constexpr double kFullyFollowed = 0.85;
// Latency may exceed the baseline by kGrowTolerance before growth stops, and by
// kStepTolerance before the limit is lowered. Too low a limit costs goodput;
// too high a limit only moves queueing into the target.
constexpr double kGrowTolerance = 1.3;
constexpr double kStepTolerance = 1.5;
constexpr double kStepFactor = 0.6;
constexpr double kJumpFactor = 4.0;
// A step costs at most 40% of the capacity for about two windows.
constexpr milliseconds kStepInterval{5000};
constexpr int kWindowsBetweenSteps = 40;
constexpr double kFasterService = 0.8;
constexpr double kBaselineFall = 0.2;
constexpr double kBaselineDrift = 0.1;

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

void ConcurrencyLimit::Rebase(support::Duration latency) {
  baseline_ = latency;
  step_.reset();
  RestartWindow();
}

void ConcurrencyLimit::Restart(double limit, support::Duration baseline) {
  proven_limit_ = 0;
  SetLimit(limit);
  Rebase(baseline);
  // The ramp measures its baseline from few calls. A baseline that is too low
  // would stop growth for kStepInterval.
  verify_baseline_ = true;
}

void ConcurrencyLimit::RestartWindow() {
  window_.Restart(clock_.Now());
}

bool ConcurrencyLimit::Failing() const {
  return window_.failures() >= kMinFailures &&
         window_.FailureShare() >= kFailureShare &&
         clock_.Now() >= ignore_failures_until_;
}

bool ConcurrencyLimit::WindowComplete() const {
  const auto elapsed = clock_.Now() - window_.started_at();
  const auto wanted =
      std::clamp<support::Duration>(2 * baseline_, kMinWindow, kMaxWindow);
  if (elapsed < wanted)
    return false;
  const auto samples = std::clamp(2 * limit(), kMinSamples, kMaxSamples);
  return window_.finishes() >= samples ||
         (window_.finishes() > 0 && elapsed >= 4 * wanted);
}

std::optional<support::Duration> ConcurrencyLimit::CloseWindow() {
  std::optional<support::Duration> jump;
  if (step_ && step_->failure_share > 0 && !step_->settled) {
    step_->settled = true;
  } else if (step_) {
    const Step step = *step_;
    step_.reset();
    if (step.failure_share > 0)
      JudgeFailureStep(step);
    else
      JudgeStep(step);
  } else if (Failing()) {
    proven_limit_ = std::max(proven_limit_, limit_);
    StepDown(window_.FailureShare() >= kMostlyFailing ? kMostlyFailingFactor
                                                      : kFailureFactor);
    step_->failure_share = window_.FailureShare();
  } else if (window_.count() > 0 && Adapt()) {
    jump = window_.MeanLatency();
  }
  RestartWindow();
  return jump;
}

void ConcurrencyLimit::JudgeFailureStep(const Step& step) {
  if (window_.FailureShare() < kFailureFollow * step.failure_share)
    return;
  SetLimit(step.limit);
  ignore_failures_until_ = clock_.Now() + kStepInterval;
}

void ConcurrencyLimit::JudgeStep(const Step& step) {
  const double concurrency = window_.MeanRunning() / step.mean_running;
  if (concurrency > 0.9 || window_.count() == 0 ||
      window_.FailureShare() >= kFailureShare) {
    // Demand bounds the concurrency, or the latency is not the service time, so
    // the step is inconclusive.
    SetLimit(step.limit);
    return;
  }
  const support::Duration latency = window_.MeanLatency();
  const double followed =
      (1 - Ratio(latency, step.latency)) / (1 - concurrency);
  verify_baseline_ = followed > kFullyFollowed;
  if (followed < kFollowed) {
    baseline_ = latency;
    SetLimit(step.limit);
    return;
  }
  baseline_ = std::min(baseline_, latency);
  // By Little's law, the concurrency at which the target is just saturated,
  // plus the queueing that growth tolerates.
  SetLimit(std::max(limit_, step.mean_running * Ratio(latency, step.latency) *
                                kGrowTolerance));
}

bool ConcurrencyLimit::Adapt() {
  if (window_.FailureShare() >= kFailureShare)
    // The latency of calls that timed out is no measure of the service time.
    return false;
  const support::Duration latency = window_.MeanLatency();
  if (baseline_.count() == 0)
    baseline_ = latency;
  const double peak = window_.peak_running();
  if (peak < limit_ / 2) {
    // The limit has no effect at this load, so only the baseline is updated.
    baseline_ = Blend(baseline_, latency, kBaselineDrift);
    return false;
  }
  const double ratio = Ratio(latency, baseline_);
  if (ratio < kFasterService) {
    // The service time has fallen, so the limit may be far too high.
    baseline_ = latency;
    verify_baseline_ = true;
  } else if (ratio < 1) {
    baseline_ = Blend(baseline_, latency, kBaselineFall);
  }
  if (ratio >= kJumpFactor)
    return true;
  // Compares with the whole calls that the limit allows: a limit of 4.6 allows
  // 4 calls, which are less than 90% of it.
  const bool used = peak >= 0.9 * limit();
  const auto window = clock_.Now() - window_.started_at();
  const auto interval =
      std::max<support::Duration>(kStepInterval, kWindowsBetweenSteps * window);
  const bool due = verify_baseline_ || clock_.Now() - last_step_ >= interval;
  if (ratio > kStepTolerance || (used && due)) {
    if (ratio > kGrowTolerance)
      proven_limit_ = 0;
    StepDown(kStepFactor);
  } else if (used && ratio <= kGrowTolerance) {
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
