// Records reports and grants tokens of leases.

#include "yuccastair/rates/rate_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccastair::rates {
namespace {

using std::chrono::milliseconds;

// Shares of the burst. Outstanding tokens stay within kMaxOutstandingShare,
// which bounds the tokens that a new leader has to assume. Tokens for expected
// demand are granted only within kMaxExtraShare, so that traffic that moves to
// another node still gets tokens while the former node returns its own.
constexpr double kMaxOutstandingShare = 0.5;
constexpr double kMaxExtraShare = 0.4;

// Tokens whose use is not reported yet count as outstanding. Reporting within
// an eighth of the time in which the rate refills the burst keeps them well
// below half of the burst.
constexpr double kReportIntervalShare = 0.125;
constexpr double kMinReportIntervalMs = 5;
constexpr double kMaxReportIntervalMs = 250;
// While most of the burst is available and little is outstanding, late reports
// deny nobody a token, and most of them travel with a node's next request. The
// bucket still records them at the time of use.
constexpr double kRelaxedReportIntervalShare = 0.5;
constexpr double kMaxRelaxedReportIntervalMs = 500;
constexpr double kMinLevelShareOfRelaxed = 0.5;
constexpr double kMaxOutstandingShareOfRelaxed = 0.15;
constexpr double kMaxRetryAfterMs = 60000;

// The ledger keeps a lease 1% longer than the node does, because monotonic
// clocks of two instances may differ in rate by up to 0.1%.
constexpr int kExpiryMarginDivisor = 100;

milliseconds LedgerTtl(milliseconds ttl) {
  return ttl + ttl / kExpiryMarginDivisor;
}

/// Returns the maximum of tokens outstanding under a ledger without
/// predecessors.
double MaxOutstandingOfFirstLedger(const RateLimit& limit) {
  // At least one token, because half of a burst of one grants nothing.
  return std::min(limit.burst,
                  std::max(1.0, limit.burst * kMaxOutstandingShare));
}

/// Returns the maximum of tokens outstanding under \p ledgers successive
/// ledgers, at least one, none of whose tokens have expired.
double MaxOutstandingOfLedgers(const RateLimit& limit, std::uint32_t ledgers) {
  const double left = limit.burst - MaxOutstandingOfFirstLedger(limit);
  return limit.burst - left * std::pow(1 - kMaxOutstandingShare, ledgers - 1);
}

std::uint64_t FloorTokens(double tokens) {
  return tokens < 1 ? 0 : static_cast<std::uint64_t>(tokens);
}

/// Returns the time within which uses are reported, for a bucket with \p level
/// tokens of which \p outstanding are granted.
std::uint32_t ReportIntervalMs(const RateLimit& limit,
                               double level,
                               double outstanding) {
  if (limit.rate <= 0)
    return static_cast<std::uint32_t>(kMaxReportIntervalMs);
  const bool relaxed =
      level - outstanding >= limit.burst * kMinLevelShareOfRelaxed &&
      outstanding <= limit.burst * kMaxOutstandingShareOfRelaxed;
  const double share =
      relaxed ? kRelaxedReportIntervalShare : kReportIntervalShare;
  return static_cast<std::uint32_t>(
      std::clamp(limit.burst / limit.rate * 1000 * share, kMinReportIntervalMs,
                 relaxed ? kMaxRelaxedReportIntervalMs : kMaxReportIntervalMs));
}

}  // namespace

RateLedger::RateLedger(const support::Clock& clock,
                       LimitLookup limits,
                       std::optional<std::uint32_t> earlier_ledgers,
                       std::uint64_t epoch,
                       milliseconds ttl)
    : clock_(clock),
      limits_(std::move(limits)),
      earlier_ledgers_(earlier_ledgers),
      ttl_(ttl),
      started_at_(clock.Now()),
      epoch_(epoch) {}

wire::RateGrant RateLedger::Handle(const wire::RateRequest& request) {
  wire::RateGrant reply;
  reply.set_epoch(epoch_);
  reply.set_sequence(request.sequence());
  reply.set_incarnation(request.incarnation());
  reply.set_ttl_ms(static_cast<std::uint32_t>(ttl_.count()));
  // The length makes the key unique for each pair of id and incarnation.
  const std::string holder = std::to_string(request.node_id().size()) + ':' +
                             request.node_id() + request.incarnation();
  for (const wire::LeaseReport& report : request.reports()) {
    wire::LeaseGrant* grant = reply.add_grants();
    grant->set_organisation(report.organisation());
    HandleReport(holder, request.sequence(), report, *grant);
  }
  return reply;
}

void RateLedger::HandleReport(const std::string& holder,
                              std::uint64_t sequence,
                              const wire::LeaseReport& report,
                              wire::LeaseGrant& grant) {
  const auto limit = limits_(report.organisation());
  if (!limit) {
    grant.set_unlimited(true);
    return;
  }
  Account& account = AccountOf(report.organisation(), *limit);
  ExpireLeases(account);
  grant.set_lease(report.lease());
  grant.set_report_within_ms(ReportIntervalMs(
      *limit, account.bucket.Level(clock_.Now()),
      static_cast<double>(account.outstanding) + account.inherited));
  // The tokens of another leader's lease are part of `inherited`. The epoch of
  // the reply makes the node start a new lease.
  if (report.epoch() != 0 && report.epoch() != epoch_)
    return;
  auto found = account.by_holder.find(holder);
  if (found != account.by_holder.end() &&
      found->second->number < report.lease()) {
    // The node has ended the known lease and spends no more tokens of it.
    CountAsSpent(account, *found->second, clock_.Now());
    account.leases.erase(found->second);
    account.by_holder.erase(found);
    found = account.by_holder.end();
  }
  if (found == account.by_holder.end()) {
    // A lease that the ledger has ended has ended at the node as well.
    if (report.epoch() != 0)
      return;
    account.leases.push_back({.holder = holder,
                              .number = report.lease(),
                              .last_sequence = 0,
                              .granted = 0,
                              .spent = 0,
                              .returned = 0,
                              .expires_at = {}});
    found = account.by_holder.emplace(holder, std::prev(account.leases.end()))
                .first;
  }
  Lease& lease = *found->second;
  if (report.lease() < lease.number)
    return;
  RecordReport(account, lease, report);
  // A duplicate or reordered request states a stale need.
  if (sequence > lease.last_sequence) {
    lease.last_sequence = sequence;
    lease.expires_at = clock_.Now() + LedgerTtl(ttl_);
    account.leases.splice(account.leases.end(), account.leases, found->second);
    GrantTokens(account, lease, report);
  }
  grant.set_granted(lease.granted);
  grant.set_spent_seen(lease.spent);
  if (lease.outstanding() < report.need()) {
    const double available = account.bucket.Level(clock_.Now()) -
                             static_cast<double>(account.outstanding) -
                             account.inherited;
    const double missing = std::max(0.0, 1 - available);
    const double wait =
        limit->rate > 0 ? missing / limit->rate * 1000 : kMaxRetryAfterMs;
    grant.set_retry_after_ms(static_cast<std::uint32_t>(
        std::clamp(std::ceil(wait), 1.0, kMaxRetryAfterMs)));
    grant.set_withheld(account.inherited > 0);
  }
}

RateLedger::Account& RateLedger::AccountOf(const std::string& organisation,
                                           const RateLimit& limit) {
  const auto found = accounts_.find(organisation);
  if (found != accounts_.end()) {
    if (found->second.bucket.limit() != limit)
      found->second.bucket.SetLimit(limit, clock_.Now());
    return found->second;
  }
  if (earlier_ledgers_ == 0)
    return accounts_
        .emplace(organisation,
                 Account(TokenBucket(limit, limit.burst, started_at_)))
        .first->second;
  const double inherited =
      earlier_ledgers_ ? MaxOutstandingOfLedgers(limit, *earlier_ledgers_)
                       : limit.burst;
  Account account(TokenBucket(limit, inherited, started_at_));
  account.inherited = inherited;
  account.max_outstanding_while_inherited =
      (limit.burst - inherited) * kMaxOutstandingShare;
  return accounts_.emplace(organisation, std::move(account)).first->second;
}

double RateLedger::MaxOutstanding(const Account& account) {
  return account.inherited > 0
             ? account.max_outstanding_while_inherited
             : MaxOutstandingOfFirstLedger(account.bucket.limit());
}

void RateLedger::RecordReport(Account& account,
                              Lease& lease,
                              const wire::LeaseReport& report) {
  const auto now = clock_.Now();
  const std::uint64_t spent =
      std::min(report.spent(), lease.granted - lease.returned);
  std::uint64_t newly_spent = spent > lease.spent ? spent - lease.spent : 0;
  account.outstanding -= newly_spent;
  lease.spent += newly_spent;
  // The newly reported tokens are the latest ones in the report.
  auto when = now;
  const int entries =
      std::min(report.spend_age_ms_size(), report.spend_count_size());
  for (int i = entries - 1; i >= 0 && newly_spent > 0; --i) {
    when = now - milliseconds(report.spend_age_ms(i));
    const std::uint64_t count =
        std::min<std::uint64_t>(newly_spent, report.spend_count(i));
    account.bucket.Spend(static_cast<double>(count), when, now);
    newly_spent -= count;
  }
  if (newly_spent > 0)
    account.bucket.Spend(static_cast<double>(newly_spent), when, now);
  const std::uint64_t returned =
      std::min(report.returned(), lease.granted - lease.spent);
  if (returned > lease.returned) {
    account.outstanding -= returned - lease.returned;
    lease.returned = returned;
  }
}

void RateLedger::GrantTokens(Account& account,
                             Lease& lease,
                             const wire::LeaseReport& report) {
  const RateLimit& limit = account.bucket.limit();
  const double all_outstanding =
      static_cast<double>(account.outstanding) + account.inherited;
  const double level = account.bucket.Level(clock_.Now()) - all_outstanding;
  const double capacity =
      MaxOutstanding(account) - static_cast<double>(account.outstanding);
  const std::uint64_t available = FloorTokens(std::min(level, capacity));
  const std::uint64_t held = lease.outstanding();
  const std::uint64_t need = report.need() > held ? report.need() - held : 0;
  std::uint64_t tokens = std::min(need, available);
  const std::uint64_t wanted =
      std::uint64_t{report.need()} + std::uint64_t{report.extra()};
  if (wanted > held + tokens) {
    // Grants half of the remainder, so that one node does not take all of it.
    const double left =
        std::min(limit.burst * kMaxExtraShare - all_outstanding, level) -
        static_cast<double>(tokens);
    tokens += std::min(wanted - held - tokens, FloorTokens(left / 2));
  }
  lease.granted += tokens;
  account.outstanding += tokens;
}

void RateLedger::CountAsSpent(Account& account,
                              Lease& lease,
                              support::TimePoint when) {
  const std::uint64_t tokens = lease.outstanding();
  account.bucket.Spend(static_cast<double>(tokens), when, clock_.Now());
  account.outstanding -= tokens;
  lease.spent += tokens;
}

void RateLedger::ExpireLeases(Account& account) {
  const auto now = clock_.Now();
  while (!account.leases.empty() && account.leases.front().expires_at <= now) {
    Lease& lease = account.leases.front();
    CountAsSpent(account, lease, lease.expires_at);
    account.by_holder.erase(lease.holder);
    account.leases.pop_front();
  }
  if (account.inherited > 0 && IsSettled()) {
    account.bucket.Spend(account.inherited, started_at_ + LedgerTtl(ttl_), now);
    account.inherited = 0;
  }
}

void RateLedger::RemoveExpired() {
  for (auto& [organisation, account] : accounts_)
    ExpireLeases(account);
}

bool RateLedger::IsSettled() const {
  return earlier_ledgers_ == 0 || clock_.Now() - started_at_ >= LedgerTtl(ttl_);
}

std::size_t RateLedger::lease_count() const {
  std::size_t count = 0;
  for (const auto& [organisation, account] : accounts_)
    count += account.leases.size();
  return count;
}

double RateLedger::Outstanding(const std::string& organisation) const {
  const auto found = accounts_.find(organisation);
  if (found == accounts_.end())
    return 0;
  return static_cast<double>(found->second.outstanding) +
         found->second.inherited;
}

}  // namespace yuccastair::rates
