// The leader's ledger of the tokens granted to each organisation.

#ifndef YUCCASTAIR_RATES_RATE_LEDGER_H_
#define YUCCASTAIR_RATES_RATE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "rates.pb.h"
#include "yuccastair/rates/rate_limit.h"
#include "yuccastair/rates/token_bucket.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::rates {

/// Grants token leases to nodes.
///
/// Invariant: the bucket level of an organisation, to which reported tokens
/// count as spent at the time of use, is at least the number of tokens
/// outstanding (granted, and neither reported as spent nor returned). Therefore
/// spending the outstanding tokens never overdraws the bucket, and no window of
/// length T contains more than burst + rate * T spent tokens.
///
/// When a lease expires without a report, its outstanding tokens count as spent
/// at the time of expiry.
///
/// Tokens of earlier ledgers may be outstanding for the duration of a lease
/// after this ledger has started. The number of those ledgers bounds their
/// tokens: the first ledger has at most half of the burst outstanding, and each
/// ledger that follows before those tokens have expired has at most half of the
/// remainder. A ledger therefore starts with that many tokens outstanding and
/// none available. It grants at the full rate from the start, even after
/// several leader changes in quick succession.
class RateLedger {
 public:
  /// \p clock must outlive the ledger. The ledger must be created after every
  /// earlier leader has granted its last token. \p earlier_ledgers is the
  /// number of earlier ledgers whose tokens may be outstanding; if it is
  /// unknown, no token is granted until all of theirs have expired. \p epoch is
  /// not 0 and unique among all ledgers. \p ttl is the duration of a lease.
  RateLedger(const support::Clock& clock,
             LimitLookup limits,
             std::optional<std::uint32_t> earlier_ledgers,
             std::uint64_t epoch,
             std::chrono::milliseconds ttl = kLeaseTtl);

  /// Records the reports of a node and grants tokens that it needs. Reports
  /// that contradict the ledger get no tokens.
  wire::RateGrant Handle(const wire::RateRequest& request);

  /// Ends the leases that were not renewed in time.
  void RemoveExpired();

  /// Returns whether every token of earlier ledgers has expired.
  bool IsSettled() const;

  std::uint64_t epoch() const { return epoch_; }
  std::size_t lease_count() const;
  /// Returns the tokens of \p organisation that are granted, and neither
  /// reported as spent nor returned. Includes those of earlier ledgers.
  double Outstanding(const std::string& organisation) const;

 private:
  struct Lease {
    // Node id and incarnation.
    std::string holder;
    std::uint64_t number = 0;
    std::uint64_t last_sequence = 0;
    std::uint64_t granted = 0;
    // spent + returned <= granted.
    std::uint64_t spent = 0;
    std::uint64_t returned = 0;
    support::TimePoint expires_at;

    std::uint64_t outstanding() const { return granted - spent - returned; }
  };
  struct Account {
    explicit Account(const TokenBucket& initial) : bucket(initial) {}

    TokenBucket bucket;
    // Ordered by expires_at: every renewal moves a lease to the end.
    std::list<Lease> leases;
    std::unordered_map<std::string, std::list<Lease>::iterator> by_holder;
    // Sum over `leases`.
    std::uint64_t outstanding = 0;
    // Maximum outstanding tokens of earlier ledgers; 0 once they have expired.
    double inherited = 0;
    // Maximum of `outstanding` while `inherited` is not 0.
    double max_outstanding_while_inherited = 0;
  };

  /// Returns the current maximum of tokens outstanding under this ledger.
  static double MaxOutstanding(const Account& account);
  Account& AccountOf(const std::string& organisation, const RateLimit& limit);
  void HandleReport(const std::string& holder,
                    std::uint64_t sequence,
                    const wire::LeaseReport& report,
                    wire::LeaseGrant& grant);
  void ExpireLeases(Account& account);
  /// Counts the outstanding tokens of \p lease as spent at \p when.
  void CountAsSpent(Account& account, Lease& lease, support::TimePoint when);
  void RecordReport(Account& account,
                    Lease& lease,
                    const wire::LeaseReport& report);
  void GrantTokens(Account& account,
                   Lease& lease,
                   const wire::LeaseReport& report);

  const support::Clock& clock_;
  const LimitLookup limits_;
  const std::optional<std::uint32_t> earlier_ledgers_;
  const std::chrono::milliseconds ttl_;
  const support::TimePoint started_at_;
  const std::uint64_t epoch_;
  std::unordered_map<std::string, Account> accounts_;
};

}  // namespace yuccastair::rates

#endif  // YUCCASTAIR_RATES_RATE_LEDGER_H_
