// The leader's account of every organisation's rate.

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
/// Invariant: the bucket level of an organisation, in which reported spendings
/// count from the time at which they happened, is at least the number of tokens
/// outstanding (granted, and neither reported as spent nor returned). Therefore
/// spending what is outstanding never overdraws the bucket, and no window of
/// length T holds more than burst + rate * T.
///
/// A lease that ends without a report counts as spent at its end.
///
/// Tokens of earlier ledgers may be outstanding for the time of a lease after
/// this one has started. What they may amount to is bounded by their number:
/// the first ledger has at most half of the burst outstanding, and each one
/// that follows before the tokens of the earlier ones have expired at most half
/// of what these have left. A ledger therefore starts with nothing available
/// and that much outstanding, and grants at the full rate from its first
/// moment, also where several leaders follow each other at once.
class RateLedger {
 public:
  /// \p clock outlives the ledger. The ledger must be created after every
  /// earlier leader has granted its last token. \p earlier_ledgers is the
  /// number of those whose tokens may be outstanding; where it is not known,
  /// nothing is granted until all have expired. \p epoch is not 0 and differs
  /// from that of every other ledger.
  RateLedger(const support::Clock& clock,
             LimitLookup limits,
             std::optional<std::uint32_t> earlier_ledgers,
             std::uint64_t epoch,
             std::chrono::milliseconds ttl = kLeaseTtl);

  /// Records the reports of a node and grants what it needs. A request with
  /// fields that contradict the ledger is answered without a grant.
  wire::RateGrant Handle(const wire::RateRequest& request);

  /// Ends leases that were not renewed, and forgets organisations that no
  /// longer have a limit.
  void RemoveExpired();

  /// Returns whether every token of earlier ledgers has expired.
  bool IsSettled() const;

  std::uint64_t epoch() const { return epoch_; }
  std::size_t lease_count() const;
  /// Returns the tokens granted to nodes and not accounted for yet.
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
    // Ordered by expires_at, because every renewal moves a lease to the end.
    std::list<Lease> leases;
    std::unordered_map<std::string, std::list<Lease>::iterator> by_holder;
    // Sum over `leases`.
    std::uint64_t outstanding = 0;
    // Tokens that earlier leaders may have granted; 0 once they have expired.
    double inherited = 0;
    // Bound of `outstanding` while there are such tokens.
    double bound_after_inherited = 0;
  };

  /// Tokens that may be outstanding under this ledger now.
  static double OutstandingBound(const Account& account);
  Account& AccountOf(const std::string& organisation, const RateLimit& limit);
  void HandleReport(const std::string& holder,
                    std::uint64_t sequence,
                    const wire::LeaseReport& report,
                    wire::LeaseGrant& grant);
  void Expire(Account& account);
  /// Counts what is outstanding under \p lease as spent at \p when.
  void CountAsSpent(Account& account, Lease& lease, support::TimePoint when);
  void Record(Account& account, Lease& lease, const wire::LeaseReport& report);
  void Grant(Account& account, Lease& lease, const wire::LeaseReport& report);

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
