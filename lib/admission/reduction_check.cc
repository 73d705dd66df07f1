// Checks whether reducing the admitted share of a route helps.

#include "yuccastair/admission/reduction_check.h"

#include <algorithm>
#include <cmath>

namespace yuccastair::admission {
namespace {

// Differences of fewer standard deviations than this may be chance.
constexpr double kSignificance = 2;

/// Returns the part of requests that succeeds, above 0 so that a single success
/// among many requests is not taken for a rise.
double SuccessRate(std::uint32_t served, std::uint32_t ended) {
  return (served + 0.5) / (ended + 1.0);
}

bool HasFallen(double expected, double served) {
  return served * ReductionCheck::kMinHarm <= expected &&
         served <= expected - kSignificance * std::sqrt(expected);
}

}  // namespace

bool ReductionCheck::Record(const Interval& interval, support::TimePoint now) {
  if (IsSuspended(now)) {
    RecordSuspended(interval);
    if (IsSuspended(now))
      return false;
  }
  const double previous_share = previous_share_;
  previous_share_ = interval.share;
  if (!reference_ || interval.share >= reference_->share) {
    reference_ = interval;
    reduced_ = {};
    return false;
  }
  if (std::max(interval.share, previous_share) >
      kComparedReduction * reference_->share)
    return false;
  reduced_.Add(interval);
  return reduced_.ended >= kMinEnded && Decide(now);
}

bool ReductionCheck::HaveReductionsHelped() const {
  if (reduced_.served >= kSufficientSuccess * reduced_.ended)
    return true;
  // Requests that would succeed at the reduced shares if the part that succeeds
  // had not changed.
  const double expected =
      SuccessRate(reference_->served, reference_->ended) * reduced_.ended;
  const double reduction = reference_->share * reduced_.ended / reduced_.shares;
  return reduced_.served >= kMinKeptSuccesses * reduction * expected &&
         reduced_.served >= expected + kSignificance * std::sqrt(expected + 1);
}

bool ReductionCheck::Decide(support::TimePoint now) {
  if (HaveReductionsHelped()) {
    reference_ = Interval{previous_share_, reduced_.ended, reduced_.served};
    reduced_ = {};
    next_suspension_ = kMinSuspension;
    return false;
  }
  // Nothing is gained by admitting requests of which none succeeds.
  if (reduced_.served == 0)
    return false;
  restored_share_ = reference_->share;
  suspended_success_ = SuccessRate(reference_->served + reduced_.served,
                                   reference_->ended + reduced_.ended);
  since_suspension_ = {};
  suspended_until_ = now + next_suspension_;
  next_suspension_ =
      std::min<support::Duration>(2 * next_suspension_, kMaxSuspension);
  reference_.reset();
  reduced_ = {};
  return true;
}

void ReductionCheck::RecordSuspended(const Interval& interval) {
  since_suspension_.Add(interval);
  if (since_suspension_.ended < kMinEnded)
    return;
  if (HasFallen(suspended_success_ * since_suspension_.ended,
                since_suspension_.served)) {
    suspended_until_ = {};
    next_suspension_ = kMinSuspension;
  }
  since_suspension_ = {};
}

void ReductionCheck::OnClear() {
  reference_.reset();
  reduced_ = {};
}

double ReductionCheck::MinShare(double share_of_one) const {
  if (!reference_)
    return 0;
  const bool none_succeeds =
      reference_->served + reduced_.served == 0 &&
      reference_->ended + reduced_.ended >= kMinEndedOfOutage;
  if (none_succeeds)
    return 0;
  return std::clamp(kComparedPerSecond * share_of_one,
                    kUndecidedReduction * reference_->share,
                    kComparedReduction * reference_->share);
}

}  // namespace yuccastair::admission
