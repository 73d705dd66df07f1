// Checks whether reducing the admitted share of a route helps.

#ifndef YUCCASTAIR_ADMISSION_REDUCTION_CHECK_H_
#define YUCCASTAIR_ADMISSION_REDUCTION_CHECK_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "yuccastair/support/clock.h"

namespace yuccastair::admission {

/// Compares the requests that succeed before and after reductions of their
/// share. If the part that succeeds has risen so little that far fewer requests
/// succeed, the rejections do not depend on the load of the route, so
/// reductions are suspended and checked again later.
class ReductionCheck {
 public:
  /// The requests that ended between two adjustments of the share.
  struct Interval {
    double share = 1;
    std::uint32_t ended = 0;
    std::uint32_t served = 0;
  };

  /// Shares up to this fraction of the one before the reductions are compared
  /// with it.
  static constexpr double kComparedReduction = 0.5;
  /// Greatest reduction before the comparison is decided, as a fraction of the
  /// share before it.
  static constexpr double kUndecidedReduction = 0.4;
  /// Requests per second that are admitted until then if kComparedReduction
  /// allows it, so that a comparison does not last longer for want of requests.
  static constexpr double kComparedPerSecond = 12;
  /// Ended requests at reduced shares that decide a comparison.
  static constexpr std::uint32_t kMinEnded = 24;
  /// Ended requests, none of them served, that indicate an outage.
  static constexpr std::uint32_t kMinEndedOfOutage = 72;
  /// Reductions help if the number of requests that succeed keeps this fraction
  /// of what it was, or if at least kSufficientSuccess of the requests succeed.
  static constexpr double kMinKeptSuccesses = 0.75;
  static constexpr double kSufficientSuccess = 2.0 / 3;
  /// Minimum factor by which the part that succeeds falls if more requests do
  /// harm.
  static constexpr double kMinHarm = 1.5;
  /// Time for which reductions are suspended. Doubles each time.
  static constexpr std::chrono::seconds kMinSuspension{2};
  static constexpr std::chrono::seconds kMaxSuspension{16};

  /// Records an interval with rejections that may be unrelated to load. Returns
  /// whether reductions are suspended from now on because they have not helped.
  bool Record(const Interval& interval, support::TimePoint now);

  bool IsSuspended(support::TimePoint now) const {
    return now < suspended_until_;
  }

  /// Records that calls have been served for a while without rejections.
  void OnClear();

  /// Returns the minimum share until the comparison is decided; 0 if none is
  /// under way or none of many requests has succeeded, as in an outage.
  /// \p share_of_one admits one request per second.
  double MinShare(double share_of_one) const;

  /// Returns the share to restore when reductions are suspended.
  double restored_share() const { return restored_share_; }

 private:
  struct Sums {
    std::uint32_t ended = 0;
    std::uint32_t served = 0;
    // The sum of the shares, weighted by ended.
    double shares = 0;

    void Add(const Interval& interval) {
      ended += interval.ended;
      served += interval.served;
      shares += interval.share * interval.ended;
    }
  };

  /// Ends the suspension if more requests do harm.
  void RecordSuspended(const Interval& interval);
  bool HaveReductionsHelped() const;
  bool Decide(support::TimePoint now);

  // The interval before the first reduction; empty if no comparison is under
  // way.
  std::optional<Interval> reference_;
  // The intervals whose share, and that of the interval before, is at most
  // kComparedReduction of the reference. Requests that end in the first one
  // were admitted before the reduction.
  Sums reduced_;
  double previous_share_ = 1;
  double restored_share_ = 1;
  support::TimePoint suspended_until_{};
  support::Duration next_suspension_ = kMinSuspension;
  // The part that succeeded when reductions were suspended, and the requests
  // since.
  double suspended_success_ = 0;
  Sums since_suspension_;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_REDUCTION_CHECK_H_
