// Limits the retries that reach one target.

#ifndef YUCCASTAIR_LIB_RELAY_TARGET_RETRY_BUDGET_H_
#define YUCCASTAIR_LIB_RELAY_TARGET_RETRY_BUDGET_H_

#include "yuccastair/routing/retry_policy.h"

namespace yuccastair::relay {

/// Allows retries up to a share of the first attempts. Counts at the target's
/// proxy, where all of its requests arrive. The sum over the fleet therefore
/// keeps the share, however the retries are spread over the relays that send
/// them.
///
/// The calls of a retried request are retries as well. They are never rejected,
/// because that would waste the work of the request, but they consume the
/// budget.
class TargetRetryBudget {
 public:
  /// Retries per first attempt; the fleet is allowed 0.2. The difference covers
  /// calls of retried requests that RunningRequests assigns to other requests:
  /// at 0.17, a downstream service reached 0.2006 within 10 s.
  static constexpr double kRetryShare = 0.12;
  /// Maximum burst of retries per target; the fleet is allowed about 50 beyond
  /// the share for a service.
  static constexpr double kMaxRetryBurst = 3;
  /// Maximum number of tokens that calls of retried requests may overdraw.
  static constexpr double kMaxTokenDebt = 20;

  void OnFirstAttempt() { tokens_.OnFirstAttempt(); }

  /// Counts a call of a retried request.
  void OnCallOfRetry() { tokens_.Overdraw(kMaxTokenDebt); }

  /// Takes a token for a retry; returns false if there is none.
  bool TakeRetry(
      routing::RetryPriority priority = routing::RetryPriority::kNormal) {
    return tokens_.TryTake(priority);
  }

 private:
  routing::RetryBudget tokens_{kRetryShare, kMaxRetryBurst};
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_TARGET_RETRY_BUDGET_H_
