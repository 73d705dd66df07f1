// The adaptive concurrency limit of one target.

#ifndef YUCCASTAIR_ADMISSION_CONCURRENCY_LIMIT_H_
#define YUCCASTAIR_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <optional>

#include "yuccastair/admission/latency_window.h"
#include "yuccastair/admission/options.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::admission {

/// Finds the concurrency above which a target only queues.
///
/// The mean latency of each window is compared with a baseline. While it stays
/// near the baseline and the limit is used, the limit grows. When it rises, the
/// limit is lowered for one window: if latency falls with the concurrency, the
/// target was queueing and the limit stays down; if it does not, the service
/// time itself has changed, so the baseline moves and the limit is restored.
/// The same step is repeated periodically under sustained load, because a
/// baseline that was first measured under overload is too high. Failures lower
/// the limit in the same way, and it is restored if they continue unchanged.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const support::Clock& clock, LimitOptions options);

  void SetOptions(LimitOptions options);

  /// Records the start of a call; \p running includes it.
  void OnStart(std::uint32_t running);

  /// Records a finished call. Returns the mean latency of the completed window
  /// if it has jumped so far above the baseline that the target may have become
  /// cold.
  std::optional<support::Duration> OnFinish(const Sample& sample);

  /// Replaces the baseline by \p latency and discards a pending step.
  void ResetBaseline(support::Duration latency);

  /// Restarts from \p limit, at which the target is just saturated, and from
  /// its latency at low load.
  void Restart(double limit, support::Duration baseline);

  /// Discards the current window. To be used after a time in which another
  /// limit was in force.
  void RestartWindow();

  std::uint32_t limit() const;
  /// Latency without queueing at the target; zero until it is measured.
  support::Duration baseline() const { return baseline_; }

 private:
  // State before a step down whose effect is being measured.
  struct Step {
    double limit = 0;
    double mean_running = 0;
    support::Duration latency{};
    // Share of failures if they caused the step; 0 otherwise.
    double failure_share = 0;
    // The target may still run calls that have timed out, so the first window
    // after a step caused by failures is not evaluated.
    bool drained = false;
  };

  bool WindowComplete() const;
  bool Failing() const;
  std::optional<support::Duration> CloseWindow();
  void EvaluateStep(const Step& step);
  void EvaluateFailureStep(const Step& step);
  bool AdaptLimit();
  void Grow();
  void StepDown(double factor);
  void SetLimit(double limit);

  const support::Clock& clock_;
  LimitOptions options_;
  // Within [options_.min, options_.max].
  double limit_;
  // The limit before failures lowered it, or the maximum until latency first
  // rises. Growth below half of it is fast.
  double proven_limit_;
  support::Duration baseline_{};
  std::optional<Step> step_;
  support::TimePoint last_step_;
  // The baseline may have been measured under overload, so the next window in
  // which the limit is used is followed by a step.
  bool verify_baseline_ = true;
  // Failures do not lower the limit before this time, because they were found
  // not to depend on the concurrency.
  support::TimePoint ignore_failures_until_;
  LatencyWindow window_;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_CONCURRENCY_LIMIT_H_
