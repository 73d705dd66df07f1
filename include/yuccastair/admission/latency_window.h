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
    ++start_count_;
  }

  void OnFinish(const Sample& sample) {
    if (sample.started < started_at_)
      return;
    ++finish_count_;
    if (sample.failed)
      ++failure_count_;
    if (sample.failed && !sample.timed_out)
      return;
    latency_sum_ += sample.latency;
    ++latency_count_;
  }

  support::TimePoint started_at() const { return started_at_; }
  /// Number of calls whose latency is included in the mean.
  std::uint32_t latency_count() const { return latency_count_; }
  std::uint32_t finish_count() const { return finish_count_; }
  std::uint32_t failure_count() const { return failure_count_; }
  std::uint32_t peak_running() const { return peak_running_; }

  support::Duration MeanLatency() const {
    return latency_count_ == 0
               ? support::Duration{}
               : latency_sum_ / static_cast<std::int64_t>(latency_count_);
  }
  double MeanRunning() const {
    return start_count_ == 0 ? 0.0
                             : static_cast<double>(running_sum_) / start_count_;
  }
  double FailureShare() const {
    return finish_count_ == 0
               ? 0.0
               : static_cast<double>(failure_count_) / finish_count_;
  }

 private:
  support::TimePoint started_at_;
  support::Duration latency_sum_{};
  std::uint64_t running_sum_ = 0;
  std::uint32_t start_count_ = 0;
  std::uint32_t latency_count_ = 0;
  std::uint32_t finish_count_ = 0;
  std::uint32_t failure_count_ = 0;
  std::uint32_t peak_running_ = 0;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_LATENCY_WINDOW_H_
