// Latency and failure statistics of one measurement window.

#ifndef YUCCASTAIR_ADMISSION_LATENCY_WINDOW_H_
#define YUCCASTAIR_ADMISSION_LATENCY_WINDOW_H_

#include <algorithm>
#include <cstdint>

#include "yuccastair/support/clock.h"

namespace yuccastair::admission {

/// One finished exchange with the target.
struct Sample {
  support::TimePoint started;
  support::Duration latency{};
  /// The connection failed, the call timed out, or the target shed it.
  bool failed = false;
  /// The call timed out, so its latency is a lower bound.
  bool timed_out = false;
};

/// Sums over the calls that both started and finished in the window.
///
/// A call that started earlier ran under another limit; its latency would mask
/// the effect of the current one.
class LatencyWindow {
 public:
  void Restart(support::TimePoint now) {
    *this = LatencyWindow();
    started_at_ = now;
  }

  void OnStart(std::uint32_t running) {
    peak_running_ = std::max(peak_running_, running);
    running_sum_ += running;
    ++starts_;
  }

  void OnFinish(const Sample& sample) {
    if (sample.started < started_at_)
      return;
    ++finishes_;
    if (sample.failed)
      ++failures_;
    if (sample.failed && !sample.timed_out)
      return;
    latency_sum_ += sample.latency;
    ++count_;
  }

  support::TimePoint started_at() const { return started_at_; }
  /// Number of calls whose latency is included in the mean.
  std::uint32_t count() const { return count_; }
  std::uint32_t finishes() const { return finishes_; }
  std::uint32_t failures() const { return failures_; }
  std::uint32_t peak_running() const { return peak_running_; }

  support::Duration MeanLatency() const {
    return count_ == 0 ? support::Duration{}
                       : latency_sum_ / static_cast<std::int64_t>(count_);
  }
  double MeanRunning() const {
    return starts_ == 0 ? 0.0 : static_cast<double>(running_sum_) / starts_;
  }
  double FailureShare() const {
    return finishes_ == 0 ? 0.0 : static_cast<double>(failures_) / finishes_;
  }

 private:
  support::TimePoint started_at_;
  support::Duration latency_sum_{};
  std::uint64_t running_sum_ = 0;
  std::uint32_t starts_ = 0;
  std::uint32_t count_ = 0;
  std::uint32_t finishes_ = 0;
  std::uint32_t failures_ = 0;
  std::uint32_t peak_running_ = 0;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_LATENCY_WINDOW_H_
