// Bounds the repeated requests that reach one target.

#ifndef YUCCASTAIR_LIB_RELAY_REPEAT_BUDGET_H_
#define YUCCASTAIR_LIB_RELAY_REPEAT_BUDGET_H_

#include <algorithm>

namespace yuccastair::relay {

/// A share of the first arrivals may be repeats. Counted where all requests for
/// a target arrive, so that the sum over the fleet keeps the share however the
/// repeats are spread over the relays that send them.
///
/// The calls of a request that runs for the second time are repeats as well.
/// They are never refused, because that would waste the work of the request,
/// but they use up the budget.
class RepeatBudget {
 public:
  /// Part of the first arrivals; the fleet is allowed 0.2. The rest is left for
  /// calls of repeated requests that are taken for those of others
  /// (RunningRequests): with 0.17 a deep service had 0.2006 in 10 s.
  static constexpr double kShare = 0.12;
  /// Repeats in one go, for each target; the fleet is allowed about 50 beyond
  /// the share for a service.
  static constexpr double kBurst = 3;
  /// Bounds what calls of repeated requests can take in advance.
  static constexpr double kMaxDebt = 20;

  void OnFirst() { tokens_ = std::min(kBurst, tokens_ + kShare); }

  /// Counts the call of a request that runs again.
  void OnInherited() { tokens_ = std::max(-kMaxDebt, tokens_ - 1); }

  /// Takes the token of a repeat; returns false if there is none.
  bool TakeRepeat() {
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }

 private:
  // In [-kMaxDebt, kBurst].
  double tokens_ = kBurst;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_REPEAT_BUDGET_H_
