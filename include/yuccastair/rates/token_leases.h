// The tokens that a node leases for the organisations of its callers.

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

/// The reason why a node has no token for an organisation.
enum class Shortage {
  /// The leader reports that the organisation has used up its rate.
  kRateExceeded,
  /// The leader withholds tokens because nodes may hold tokens of earlier
  /// leaders.
  kLeaderChange,
  /// No leader has replied recently.
  kNoLeader,
};

/// Returns the text of \p shortage as used in replies, logs and metrics.
const char* ShortageText(Shortage shortage);

/// Spends leased tokens, and creates the requests to the leader that renew or
/// enlarge leases and return tokens.
///
/// A lease ends kLeaseTtl, or a shorter time that the leader states, after the
/// sending of the last request that the leader granted for it. No token of an
/// ended lease is spent, even if a late reply would renew the lease. Not
/// thread-safe.
class TokenLeases {
 public:
  /// \p clock must outlive the object. \p incarnation is random for each start
  /// of the process.
  TokenLeases(const support::Clock& clock,
              std::string node_id,
              std::string incarnation);

  /// Spends one token of \p organisation; returns false if there is none.
  bool TryTake(const std::string& organisation);

  /// Increments or decrements the number of requests that wait for a token.
  void AddWaiter(const std::string& organisation);
  void RemoveWaiter(const std::string& organisation);

  /// Returns the request that is due, if any. It covers up to kMaxReports
  /// organisations.
  std::optional<wire::RateRequest> NextRequest();

  /// Applies a reply of a leader. Replies that are late, duplicate,
  /// inconsistent or for another incarnation have no effect.
  void Apply(const wire::RateGrant& grant);

  /// Returns the time until a token may be available, as last reported by the
  /// leader.
  std::chrono::milliseconds RetryAfter(const std::string& organisation) const;

  /// Returns why \p organisation has no token.
  Shortage CurrentShortage(const std::string& organisation) const;

  /// Returns how many tokens of \p organisation can be spent now.
  std::uint64_t HeldTokens(const std::string& organisation);

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
    // Spent tokens that the leader has recorded.
    std::uint64_t spent_seen = 0;
    support::TimePoint expires_at;

    std::uint64_t held() const { return granted - spent - returned; }
  };
  struct SpendRecord {
    // Times at which the first and the last of the tokens were spent.
    support::TimePoint first;
    support::TimePoint last;
    std::uint32_t count = 0;
  };
  struct Account {
    Lease lease;
    // A lease of an earlier leader. Its tokens are spent until it ends, and are
    // not reported, because the new leader counts them as outstanding.
    Lease retired;
    // Tokens of `lease` whose use the leader has not confirmed, oldest first.
    std::deque<SpendRecord> spend_records;
    std::uint32_t waiting = 0;
    // Sequence number of the latest request whose reply was applied.
    std::uint64_t last_sequence = 0;
    // Tokens spent in the current demand window, and the moving average over
    // earlier windows.
    std::uint32_t window_demand = 0;
    double average_demand = 0;
    // The same over a longer time.
    double long_average_demand = 0;
    support::TimePoint window_start;
    support::TimePoint unlimited_until;
    support::TimePoint requested_at;
    support::TimePoint retry_at;
    support::TimePoint replied_at;
    // Values of the leader's last reply.
    bool withheld = false;
    std::chrono::milliseconds retry_after{0};
    std::chrono::milliseconds report_within{0};
  };

  Account& AccountOf(const std::string& organisation);
  void EndExpiredLeases(Account& account) const;
  static void StartLease(Account& account);
  void CountDemand(Account& account);
  void UpdateDemand(Account& account) const;
  /// Returns the number of tokens to hold for expected demand.
  std::uint32_t ExtraTokens(const Account& account) const;
  bool IsRequestDue(const Account& account) const;
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
