// Limits the retries that reach one target.

#ifndef YUCCASTAIR_LIB_RELAY_REPEAT_BUDGET_H_
#define YUCCASTAIR_LIB_RELAY_REPEAT_BUDGET_H_

#include <algorithm>

namespace yuccastair::relay {

/// Allows retries up to a share of the first attempts. Counts at the target's
/// proxy, where all of its requests arrive. The sum over the fleet therefore
/// keeps the share, however the retries are spread over the relays that send
/// them.
///
/// The calls of a retried request are retries as well. They are never rejected,
/// because that would waste the work of the request, but they consume the
/// budget.
class RepeatBudget {
 public:
  /// Retries per first attempt; the fleet is allowed 0.2. The difference covers
  /// calls of retried requests that RunningRequests assigns to other requests:
  /// at 0.17, a downstream service reached 0.2006 within 10 s.
  static constexpr double kShare = 0.12;
  /// Maximum burst of retries per target; the fleet is allowed about 50 beyond
  /// the share for a service.
  static constexpr double kBurst = 3;
  /// Maximum number of tokens that calls of retried requests may overdraw.
  static constexpr double kMaxDebt = 20;

  void OnFirst() { tokens_ = std::min(kBurst, tokens_ + kShare); }

  /// Counts a call of a retried request.
  void OnInherited() { tokens_ = std::max(-kMaxDebt, tokens_ - 1); }

  /// Takes a token for a retry; returns false if there is none.
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
