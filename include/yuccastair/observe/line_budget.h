// Bounds how many lines of one kind a process logs.

#ifndef YUCCASTAIR_OBSERVE_LINE_BUDGET_H_
#define YUCCASTAIR_OBSERVE_LINE_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "yuccastair/support/clock.h"

namespace yuccastair::observe {

/// A token bucket for log lines. Under overload, writing a line for each
/// refused request would cost more than refusing it.
class LineBudget {
 public:
  LineBudget(const support::Clock& clock, double per_second, double burst)
      : clock_(clock),
        per_second_(per_second),
        burst_(burst),
        lines_(burst),
        updated_at_(clock.Now()) {}

  /// Returns how many lines were left out since the last one that was written,
  /// or nothing if this one has to be left out too.
  std::optional<std::uint64_t> Take() {
    const std::chrono::duration<double> passed = clock_.Now() - updated_at_;
    updated_at_ = clock_.Now();
    lines_ = std::min(burst_, lines_ + passed.count() * per_second_);
    if (lines_ < 1) {
      ++left_out_;
      return std::nullopt;
    }
    lines_ -= 1;
    return std::exchange(left_out_, 0);
  }

 private:
  const support::Clock& clock_;
  const double per_second_;
  const double burst_;
  // In [0, burst_].
  double lines_;
  support::TimePoint updated_at_;
  std::uint64_t left_out_ = 0;
};

}  // namespace yuccastair::observe

#endif  // YUCCASTAIR_OBSERVE_LINE_BUDGET_H_
