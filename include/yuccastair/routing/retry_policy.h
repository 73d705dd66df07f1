// Which outcomes may be retried, and how many attempts a request has.

#ifndef YUCCASTAIR_ROUTING_RETRY_POLICY_H_
#define YUCCASTAIR_ROUTING_RETRY_POLICY_H_

#include <algorithm>
#include <cstdint>

#include "call.pb.h"

namespace yuccastair::routing {

/// Returns whether a call that ended with \p reply may be attempted again,
/// provided that there is an attempt left for it.
bool MayRetry(bool idempotent, const wire::CallReply& reply);

/// The extra attempts of one request: every attempt beyond the first of a call,
/// be it a retry, a hedge, a re-route or a resend by a target.
///
/// The entry makes a budget; parts of it are lent to calls further down and
/// come back as far as they were not used. The sum over all holders never
/// exceeds what the entry made.
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

  /// Takes out half of what is left, rounded down, so that an attempt whose
  /// reply is lost does not take the rest with it.
  std::uint32_t Lend() {
    const std::uint32_t lent = left_ / 2;
    left_ -= lent;
    return lent;
  }

  /// Puts back what was not used of \p lent. A report of more than was lent
  /// counts as all of it.
  void Return(std::uint32_t lent, std::uint32_t unused) {
    left_ += std::min(lent, unused);
  }

 private:
  std::uint32_t left_;
};

/// Bounds the retries of one node to one service to a share of its first
/// attempts.
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

  /// Takes the token of one retry; returns false if there is none.
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
