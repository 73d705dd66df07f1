// Brings a cold target to full load step by step.

#ifndef YUCCASTAIR_ADMISSION_COLD_RAMP_H_
#define YUCCASTAIR_ADMISSION_COLD_RAMP_H_

#include <cstdint>

#include "yuccastair/admission/latency_window.h"
#include "yuccastair/admission/options.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::admission {

/// A cap on concurrency that grows geometrically from
/// ColdOptions::initial_limit to the full limit over ColdOptions::ramp.
///
/// The ramp advances at a quarter of the pace while the target struggles
/// (latency over twice the baseline) and falls back while calls fail. A ramp
/// that was started on a suspicion advances eight times as fast until the
/// target struggles for the first time. A target that is suspected, or has had
/// the time of the ramp, and struggles without failing is full at the present
/// cap; overload() then tells by how much.
class ColdRamp {
 public:
  ColdRamp(const support::Clock& clock, ColdOptions options);

  void SetOptions(ColdOptions options) { options_ = options; }

  /// Starts from the beginning, also when a ramp is under way. \p baseline is
  /// the latency of the warm target, zero if it is not known.
  void Start(support::Duration baseline, bool suspected);
  void End() { active_ = false; }

  bool active() const { return active_; }

  void OnFinish(const Sample& sample);

  /// Advances the ramp to the present time.
  void Advance();

  /// The cap, at most \p full_limit.
  std::uint32_t Cap(std::uint32_t full_limit) const;

  /// How far the target was loaded beyond what it can do at once, as the ratio
  /// of its latency to that without queueing; 0 if it was not.
  double overload() const { return overload_; }
  support::Duration baseline() const { return baseline_; }

  /// Mean latency of the first complete window of this ramp; zero before.
  support::Duration first_latency() const { return first_latency_; }

 private:
  void CloseWindow();

  const support::Clock& clock_;
  ColdOptions options_;
  bool active_ = false;
  bool suspected_ = false;
  double overload_ = 0;
  support::TimePoint started_at_;
  // In [0, 1].
  double progress_ = 0;
  double pace_ = 1;
  support::TimePoint advanced_at_;
  support::Duration baseline_{};
  support::Duration first_latency_{};
  LatencyWindow window_;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_COLD_RAMP_H_
