// Which outcomes may be retried, and how many attempts a request may make.

#ifndef YUCCASTAIR_ROUTING_RETRY_POLICY_H_
#define YUCCASTAIR_ROUTING_RETRY_POLICY_H_

#include <algorithm>
#include <cstdint>

#include "call.pb.h"

namespace yuccastair::routing {

/// Returns whether a call that ended with \p reply may be attempted again,
/// provided that its budget has an attempt left.
bool IsRetryable(bool idempotent, const wire::CallReply& reply);

/// The extra attempts of one request. Every attempt beyond the first of a call
/// counts: a retry, a hedge, a re-route or a resend by a target.
///
/// The entry creates the budget. Parts of it are delegated to downstream calls,
/// which return what they do not use. The sum over all holders never exceeds
/// the initial budget.
class AttemptBudget {
 public:
  explicit AttemptBudget(std::uint32_t attempts) : remaining_(attempts) {}

  std::uint32_t remaining() const { return remaining_; }

  /// Spends one attempt; returns false if none is left.
  bool Spend() {
    if (remaining_ == 0)
      return false;
    --remaining_;
    return true;
  }

  /// Removes and returns half of the remaining attempts, rounded down, so that
  /// an attempt whose reply is lost does not use up the rest.
  std::uint32_t Delegate() {
    const std::uint32_t delegated = remaining_ / 2;
    remaining_ -= delegated;
    return delegated;
  }

  /// Adds back the \p unused attempts of the \p delegated ones. A report of
  /// more unused attempts than were delegated is capped at \p delegated.
  void ReturnUnused(std::uint32_t delegated, std::uint32_t unused) {
    remaining_ += std::min(delegated, unused);
  }

 private:
  std::uint32_t remaining_;
};

/// Limits the retries of one node to one service to a share of its first
/// attempts, as a token bucket.
class RetryBudget {
 public:
  RetryBudget(double share, double burst)
      : share_(share), burst_(burst), tokens_(burst) {}

  void SetOptions(double share, double burst) {
    share_ = share;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
  }

  void OnFirstAttempt() { tokens_ = std::min(burst_, tokens_ + share_); }

  /// Spends the token of one retry; returns false if none is left.
  bool TryTake() {
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double share_;
  double burst_;
  // In [0, burst_].
  double tokens_;
};

}  // namespace yuccastair::routing

#endif  // YUCCASTAIR_ROUTING_RETRY_POLICY_H_
