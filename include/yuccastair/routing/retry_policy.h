// Which outcomes may be retried, and how many attempts a request may make.

#ifndef YUCCASTAIR_ROUTING_RETRY_POLICY_H_
#define YUCCASTAIR_ROUTING_RETRY_POLICY_H_

#include <algorithm>
#include <cstdint>

#include "call.pb.h"

namespace yuccastair::routing {

/// Returns whether a call that ended with \p reply may be attempted again,
/// provided that its budget has an attempt left.
bool MayRetry(bool idempotent, const wire::CallReply& reply);

/// The extra attempts of one request. Every attempt beyond the first of a call
/// counts: a retry, a hedge, a re-route or a resend by a target.
///
/// The entry creates the budget. Parts of it are delegated to downstream calls,
/// which return what they do not use. The sum over all holders never exceeds
/// the initial budget.
class AttemptBudget {
 public:
  explicit AttemptBudget(std::uint32_t attempts) : left_(attempts) {}

  std::uint32_t left() const { return left_; }

  /// Spends one attempt; returns false if none is left.
  bool Spend() {
    if (left_ == 0)
      return false;
    --left_;
    return true;
  }

  /// Removes and returns half of the remaining attempts, rounded down, so that
  /// an attempt whose reply is lost does not use up the rest.
  std::uint32_t Lend() {
    const std::uint32_t lent = left_ / 2;
    left_ -= lent;
    return lent;
  }

  /// Adds back the \p unused attempts of the \p lent ones. A report of more
  /// unused attempts than were delegated is capped at \p lent.
  void Return(std::uint32_t lent, std::uint32_t unused) {
    left_ += std::min(lent, unused);
  }

 private:
  std::uint32_t left_;
};

/// Limits the retries of one node to one service to a share of its first
/// attempts, as a token bucket.
class RetryShare {
 public:
  RetryShare(double share, double burst)
      : share_(share), burst_(burst), tokens_(burst) {}

  void SetOptions(double share, double burst) {
    share_ = share;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
  }

  void OnFirstAttempt() { tokens_ = std::min(burst_, tokens_ + share_); }

  /// Spends the token of one retry; returns false if none is left.
  bool Take() {
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
