// Raises the load of a cold target gradually to the full limit.

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
/// The ramp advances at a quarter of its pace while the target is slow (latency
/// over twice the baseline), and regresses while calls fail. A suspected ramp,
/// which was started only because latency has jumped, advances eight times as
/// fast until the target is slow or fails for the first time. If the target is
/// slow without failing while the ramp is suspected, or after the duration of
/// the ramp, it is saturated at the current cap, and overload() states by how
/// much.
class ColdRamp {
 public:
  ColdRamp(const support::Clock& clock, ColdOptions options);

  void SetOptions(ColdOptions options) { options_ = options; }

  /// Starts or restarts the ramp. \p baseline is the latency of the warm
  /// target, zero if unknown. \p suspected states that the target is only
  /// assumed to be cold.
  void Start(support::Duration baseline, bool suspected);
  void End() { active_ = false; }

  bool active() const { return active_; }

  void OnFinish(const Sample& sample);

  /// Advances the ramp to the present time.
  void Advance();

  /// The cap, at most \p full_limit.
  std::uint32_t Cap(std::uint32_t full_limit) const;

  /// The ratio of the latency of a saturated target to its latency without
  /// queueing; 0 while no saturation is found.
  double overload() const { return overload_; }
  support::Duration baseline() const { return baseline_; }

  /// Mean latency of the first complete window of this ramp; zero until then.
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
