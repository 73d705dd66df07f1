// Spends, reports and renews token leases at a node.

#include "yuccastair/rates/token_leases.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccastair::rates {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDemandWindow{100};
// Weight of the latest window in the moving average of demand.
constexpr double kDemandWindowWeight = 0.5;
// The same for the average that decides whether tokens are held in advance.
constexpr double kLongDemandWindowWeight = 0.1;
// Number of windows of average demand for which a node requests extra tokens.
constexpr double kExtraDemandWindows = 10;
// Tokens that a node expects to spend within kExtraDemandWindows before it
// holds any in advance. With fewer, most of them would be returned unused, at
// the cost of two messages each.
constexpr double kMinExtraDemand = 3;

// A request without a reply is resent after this time.
constexpr milliseconds kReplyTimeout{50};
constexpr milliseconds kMaxRetryInterval{40};
constexpr milliseconds kRenewalInterval{1000};
constexpr milliseconds kPrefetchInterval{50};

// Time after a reply for which an organisation without a rate limit is not
// limited. A node that is disconnected for 3 s rejects keyed requests anyway.
constexpr milliseconds kUnlimitedValidity{10000};

constexpr milliseconds kSpendRecordLength{10};
constexpr std::size_t kMaxSpendRecords = 64;
constexpr std::size_t kMaxTrackedRequests = 256;
// An older reply does not reflect the current state: while requests wait, the
// node requests tokens every kReplyTimeout.
constexpr milliseconds kMaxReplyAge{300};

std::uint32_t AgeMs(support::TimePoint when, support::TimePoint now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(now - when).count());
}

}  // namespace

const char* ShortageText(Shortage shortage) {
  switch (shortage) {
    case Shortage::kRateExceeded:
      return "the organisation is over its rate";
    case Shortage::kLeaderChange:
      return "the new leader holds tokens back";
    case Shortage::kNoLeader:
      return "no leader grants tokens";
  }
  return "";
}

TokenLeases::TokenLeases(const support::Clock& clock,
                         std::string node_id,
                         std::string incarnation)
    : clock_(clock),
      node_id_(std::move(node_id)),
      incarnation_(std::move(incarnation)) {}

TokenLeases::Account& TokenLeases::AccountOf(const std::string& organisation) {
  const auto [found, added] = accounts_.try_emplace(organisation);
  if (added)
    found->second.window_start = clock_.Now();
  return found->second;
}

void TokenLeases::StartLease(Account& account) {
  const std::uint64_t number = account.lease.number + 1;
  account.lease = {};
  account.lease.number = number;
  account.spend_records.clear();
  account.retry_at = {};
}

void TokenLeases::EndExpiredLeases(Account& account) const {
  const auto now = clock_.Now();
  if (account.lease.epoch != 0 && now >= account.lease.expires_at)
    StartLease(account);
  if (account.retired.epoch != 0 && now >= account.retired.expires_at)
    account.retired = {};
}

void TokenLeases::UpdateDemand(Account& account) const {
  const auto now = clock_.Now();
  while (now - account.window_start >= kDemandWindow) {
    account.average_demand +=
        kDemandWindowWeight * (account.window_demand - account.average_demand);
    account.long_average_demand +=
        kLongDemandWindowWeight *
        (account.window_demand - account.long_average_demand);
    account.window_demand = 0;
    account.window_start += kDemandWindow;
    // Skips the remaining windows of a long idle time.
    if (account.average_demand < 0.001) {
      account.average_demand = 0;
      const auto windows = (now - account.window_start) / kDemandWindow;
      account.long_average_demand *=
          std::pow(1 - kLongDemandWindowWeight, static_cast<double>(windows));
      account.window_start =
          std::max(account.window_start, now - kDemandWindow / 2);
    }
  }
}

std::uint32_t TokenLeases::ExtraTokens(const Account& account) const {
  if (account.long_average_demand * kExtraDemandWindows < kMinExtraDemand)
    return 0;
  return static_cast<std::uint32_t>(account.average_demand *
                                    kExtraDemandWindows);
}

bool TokenLeases::TryTake(const std::string& organisation) {
  Account& account = AccountOf(organisation);
  const auto now = clock_.Now();
  EndExpiredLeases(account);
  UpdateDemand(account);
  if (now < account.unlimited_until) {
    ++account.window_demand;
    return true;
  }
  if (account.retired.held() > 0) {
    ++account.retired.spent;
    ++account.window_demand;
    return true;
  }
  if (account.lease.held() == 0)
    return false;
  ++account.lease.spent;
  ++account.window_demand;
  auto& spend_records = account.spend_records;
  if (spend_records.empty() ||
      now - spend_records.back().first >= kSpendRecordLength)
    spend_records.push_back({now, now, 0});
  spend_records.back().last = now;
  ++spend_records.back().count;
  if (spend_records.size() > kMaxSpendRecords) {
    spend_records[1].count += spend_records[0].count;
    spend_records.pop_front();
  }
  return true;
}

void TokenLeases::AddWaiter(const std::string& organisation) {
  ++AccountOf(organisation).waiting;
}

void TokenLeases::RemoveWaiter(const std::string& organisation) {
  Account& account = AccountOf(organisation);
  if (account.waiting > 0)
    --account.waiting;
}

bool TokenLeases::IsRequestDue(const Account& account) const {
  const auto now = clock_.Now();
  const auto since_request = now - account.requested_at;
  if (now < account.unlimited_until)
    return account.window_demand > 0 && since_request >= kRenewalInterval;
  const std::uint64_t held = account.lease.held() + account.retired.held();
  if (account.waiting > held && now >= account.retry_at)
    return true;
  if (!account.spend_records.empty() &&
      since_request >= account.report_within &&
      now - account.spend_records.front().first >= account.report_within)
    return true;
  const std::uint32_t extra = ExtraTokens(account);
  if (extra > 0 && account.lease.held() < extra / 2 &&
      since_request >= std::max(kPrefetchInterval, account.report_within))
    return true;
  if (account.lease.held() == 0)
    return false;
  // Tokens in excess of the demand are returned soon; others are renewed.
  return since_request >= (account.lease.held() > extra ? 2 * kPrefetchInterval
                                                        : kRenewalInterval);
}

void TokenLeases::FillReport(Account& account, wire::LeaseReport& report) {
  const auto now = clock_.Now();
  Lease& lease = account.lease;
  const std::uint32_t extra = ExtraTokens(account);
  const std::uint64_t wanted = std::uint64_t{account.waiting} + extra;
  if (lease.held() > wanted)
    lease.returned += lease.held() - wanted;
  report.set_lease(lease.number);
  report.set_epoch(lease.epoch);
  report.set_spent(lease.spent);
  report.set_returned(lease.returned);
  report.set_need(account.waiting);
  report.set_extra(extra);
  for (const SpendRecord& spend_record : account.spend_records) {
    report.add_spend_age_ms(AgeMs(spend_record.last, now));
    report.add_spend_count(spend_record.count);
  }
  account.requested_at = now;
  account.retry_at = now + kReplyTimeout;
}

std::optional<wire::RateRequest> TokenLeases::NextRequest() {
  bool due = false;
  for (auto& [organisation, account] : accounts_) {
    EndExpiredLeases(account);
    UpdateDemand(account);
    due = due || IsRequestDue(account);
  }
  if (!due)
    return std::nullopt;
  wire::RateRequest request;
  for (auto& [organisation, account] : accounts_) {
    if (request.reports_size() >= kMaxReports)
      break;
    // Also includes organisations with unreported spent tokens.
    if (!IsRequestDue(account) &&
        account.lease.spent == account.lease.spent_seen)
      continue;
    wire::LeaseReport* report = request.add_reports();
    report->set_organisation(organisation);
    FillReport(account, *report);
  }
  request.set_node_id(node_id_);
  request.set_incarnation(incarnation_);
  request.set_sequence(next_sequence_);
  sent_at_[next_sequence_++] = clock_.Now();
  if (sent_at_.size() > kMaxTrackedRequests)
    sent_at_.erase(sent_at_.begin());
  return request;
}

void TokenLeases::Apply(const wire::RateGrant& grant) {
  const auto sent = sent_at_.find(grant.sequence());
  if (grant.not_leader() || grant.incarnation() != incarnation_ ||
      grant.epoch() == 0 || sent == sent_at_.end())
    return;
  for (const wire::LeaseGrant& lease_grant : grant.grants()) {
    const auto found = accounts_.find(lease_grant.organisation());
    if (found == accounts_.end())
      continue;
    Account& account = found->second;
    if (grant.sequence() <= account.last_sequence)
      continue;
    if (lease_grant.unlimited()) {
      account.last_sequence = grant.sequence();
      account.unlimited_until =
          std::max(account.unlimited_until, sent->second + kUnlimitedValidity);
      continue;
    }
    account.unlimited_until = {};
    EndExpiredLeases(account);
    ApplyLease(account, grant, lease_grant, sent->second);
  }
}

void TokenLeases::ApplyLease(Account& account,
                             const wire::RateGrant& grant,
                             const wire::LeaseGrant& lease_grant,
                             support::TimePoint sent_at) {
  const auto now = clock_.Now();
  Lease& lease = account.lease;
  if (lease_grant.lease() != lease.number)
    return;
  if (lease.epoch != 0 && lease.epoch != grant.epoch()) {
    // The grants of a new leader belong to a separate lease.
    if (lease.held() > 0)
      account.retired = lease;
    StartLease(account);
    return;
  }
  const auto expires_at =
      sent_at +
      milliseconds(std::min<std::uint32_t>(
          grant.ttl_ms(), static_cast<std::uint32_t>(kLeaseTtl.count())));
  // A ledger that has already ended this lease reports fewer granted tokens and
  // does not renew the lease.
  if (lease_grant.granted() < lease.granted || now >= expires_at)
    return;
  account.last_sequence = grant.sequence();
  lease.epoch = grant.epoch();
  lease.granted = lease_grant.granted();
  lease.expires_at = std::max(lease.expires_at, expires_at);
  lease.spent_seen =
      std::clamp(lease_grant.spent_seen(), lease.spent_seen, lease.spent);
  account.replied_at = now;
  account.withheld = lease_grant.withheld();
  account.report_within = milliseconds(lease_grant.report_within_ms());
  account.retry_after = milliseconds(lease_grant.retry_after_ms());
  // Another node may return tokens before the bucket refills.
  account.retry_at = now + std::min(account.retry_after, kMaxRetryInterval);
  // Drops the records, or parts of records, that the leader has confirmed.
  std::uint64_t unconfirmed = lease.spent - lease.spent_seen;
  auto kept = account.spend_records.end();
  while (kept != account.spend_records.begin() && unconfirmed > 0) {
    --kept;
    kept->count = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(kept->count, unconfirmed));
    unconfirmed -= kept->count;
  }
  account.spend_records.erase(account.spend_records.begin(), kept);
}

milliseconds TokenLeases::RetryAfter(const std::string& organisation) const {
  const auto found = accounts_.find(organisation);
  return found == accounts_.end() ? milliseconds(0) : found->second.retry_after;
}

Shortage TokenLeases::CurrentShortage(const std::string& organisation) const {
  const auto found = accounts_.find(organisation);
  if (found == accounts_.end() ||
      clock_.Now() - found->second.replied_at > kMaxReplyAge)
    return Shortage::kNoLeader;
  return found->second.withheld ? Shortage::kLeaderChange
                                : Shortage::kRateExceeded;
}

std::uint64_t TokenLeases::HeldTokens(const std::string& organisation) {
  Account& account = AccountOf(organisation);
  EndExpiredLeases(account);
  return account.lease.held() + account.retired.held();
}

}  // namespace yuccastair::rates
