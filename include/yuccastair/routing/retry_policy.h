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

enum class RetryPriority : std::uint8_t {
  kNormal,
  /// The caller may not repeat its request, so a failure costs it more.
  kHigh,
};

/// Limits the retries of one node to one service to a share of its first
/// attempts, as a token bucket. While retries of high priority find no token,
/// those of normal priority leave one.
class RetryBudget {
 public:
  RetryBudget(double share, double burst)
      : share_(share), burst_(burst), tokens_(burst) {}

  void SetOptions(double share, double burst) {
    share_ = share;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
  }

  void OnFirstAttempt() {
    tokens_ = std::min(burst_, tokens_ + share_);
    if (tokens_ >= burst_)
      reserved_ = 0;
  }

  /// Spends the token of one retry; returns false if none is left.
  bool TryTake(RetryPriority priority = RetryPriority::kNormal) {
    const bool high = priority == RetryPriority::kHigh;
    if (tokens_ < 1 + (high ? 0 : reserved_)) {
      if (high)
        reserved_ = 1;
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  /// Spends the token of a retry that cannot be rejected, down to \p max_debt
  /// tokens below none.
  void Overdraw(double max_debt) { tokens_ = std::max(-max_debt, tokens_ - 1); }

 private:
  double share_;
  double burst_;
  // At most burst_; below 0 only if overdrawn.
  double tokens_;
  // Tokens that retries of normal priority leave; 0 or 1.
  double reserved_ = 0;
};

}  // namespace yuccastair::routing

#endif  // YUCCASTAIR_ROUTING_RETRY_POLICY_H_
