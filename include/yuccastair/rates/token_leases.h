// The tokens that a node holds for the organisations of its callers.

#ifndef YUCCASTAIR_RATES_TOKEN_LEASES_H_
#define YUCCASTAIR_RATES_TOKEN_LEASES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "rates.pb.h"
#include "yuccastair/rates/rate_limit.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::rates {

/// Why a node has no token of an organisation.
enum class Shortage {
  /// The leader has stated that the organisation has used up its rate.
  kRate,
  /// The leader holds tokens back, because nodes may hold those of earlier
  /// leaders.
  kLeaderChange,
  /// No leader has answered lately.
  kNoLeader,
};

/// Returns the text that replies, logs and metrics carry.
const char* ShortageText(Shortage shortage);

/// Spends leased tokens, and writes the requests to the leader that renew,
/// enlarge and give back leases.
///
/// A lease ends `ttl` after the sending of the last request that the leader
/// answered for it. An ended lease is never spent from again, not even where a
/// late answer would renew it. Not safe for use by several threads.
class TokenLeases {
 public:
  /// \p clock outlives the object. \p incarnation is random for each start.
  TokenLeases(const support::Clock& clock,
              std::string node_id,
              std::string incarnation);

  /// Spends one token of \p organisation; returns false if there is none.
  bool TryTake(const std::string& organisation);

  /// States that one more request waits for a token, or one fewer.
  void AddWaiter(const std::string& organisation);
  void RemoveWaiter(const std::string& organisation);

  /// Returns the request that is due, if any. It covers all organisations, up
  /// to kMaxReports of them.
  std::optional<wire::RateRequest> NextRequest();

  /// Applies an answer of a leader. Answers that are late, repeated, for
  /// another incarnation or inconsistent change nothing.
  void Apply(const wire::RateGrant& grant);

  /// Time until a token may be there, as the leader last stated it.
  std::chrono::milliseconds RetryAfter(const std::string& organisation) const;

  /// Why \p organisation has no token.
  Shortage ShortageOf(const std::string& organisation) const;

  /// Returns how many tokens of \p organisation can be spent now.
  std::uint64_t Held(const std::string& organisation);

  static constexpr int kMaxReports = 256;

 private:
  struct Lease {
    std::uint64_t number = 1;
    // 0 until the first grant.
    std::uint64_t epoch = 0;
    // spent + returned <= granted.
    std::uint64_t granted = 0;
    std::uint64_t spent = 0;
    std::uint64_t returned = 0;
    // Spendings that the leader has recorded.
    std::uint64_t spent_seen = 0;
    support::TimePoint expires_at;

    std::uint64_t held() const { return granted - spent - returned; }
  };
  struct Spending {
    // Of the first and of the last token.
    support::TimePoint first;
    support::TimePoint last;
    std::uint32_t count = 0;
  };
  struct Account {
    Lease lease;
    // A lease of an earlier leader; spent until it ends, and not reported,
    // because a new leader counts it as outstanding.
    Lease retired;
    // Spendings under `lease` that the leader has not confirmed, oldest first.
    std::deque<Spending> spendings;
    std::uint32_t waiting = 0;
    // Of the newest request whose answer was applied.
    std::uint64_t last_sequence = 0;
    // Requests in the current demand window, and the average of former ones.
    std::uint32_t window_demand = 0;
    double average_demand = 0;
    support::TimePoint window_begin;
    support::TimePoint unlimited_until;
    support::TimePoint asked_at;
    support::TimePoint retry_at;
    support::TimePoint answered_at;
    // As the leader stated in its last answer.
    bool withheld = false;
    std::chrono::milliseconds retry_after{0};
    std::chrono::milliseconds report_within{0};
  };

  Account& AccountOf(const std::string& organisation);
  void EndExpired(Account& account) const;
  static void StartLease(Account& account);
  void CountDemand(Account& account);
  void UpdateDemand(Account& account) const;
  /// Tokens to hold for the near future.
  std::uint32_t Extra(const Account& account) const;
  bool IsDue(const Account& account) const;
  void FillReport(Account& account, wire::LeaseReport& report);
  void ApplyLease(Account& account,
                  const wire::RateGrant& grant,
                  const wire::LeaseGrant& lease_grant,
                  support::TimePoint sent_at);

  const support::Clock& clock_;
  const std::string node_id_;
  const std::string incarnation_;
  std::uint64_t next_sequence_ = 1;
  // Sending times of the latest requests, by sequence number.
  std::map<std::uint64_t, support::TimePoint> sent_at_;
  std::unordered_map<std::string, Account> accounts_;
};

}  // namespace yuccastair::rates

#endif  // YUCCASTAIR_RATES_TOKEN_LEASES_H_
