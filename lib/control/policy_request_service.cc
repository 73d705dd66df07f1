// Executes requests on the routing policy or forwards them to the leader.

#include "policy_request_service.h"

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <utility>

#include "yuccastair/state/table_dispatcher.h"
#include "yuccastair/support/log.h"

namespace yuccastair::control {
namespace {

// Callers try another control process after a second without a response, so a
// later response is useless.
constexpr std::chrono::milliseconds kForwardTimeout{900};

/// Returns the age that a sync reply states for an order, in ms.
std::uint32_t ToReportedAge(std::optional<support::Duration> age) {
  constexpr std::uint32_t kUnknown = std::numeric_limits<std::uint32_t>::max();
  if (!age)
    return kUnknown;
  return static_cast<std::uint32_t>(std::min<std::int64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(*age).count(), kUnknown));
}

}  // namespace

PolicyRequestService::PolicyRequestService(consensus::ReplicatedLog& log,
                                           const policy::PolicyTable& table,
                                           const support::Clock& clock,
                                           ForwardCallback forward)
    : log_(log),
      table_(table),
      clock_(clock),
      forward_(std::move(forward)),
      started_at_(clock.Now()),
      zone_changes_(clock),
      zones_(clock) {}

void PolicyRequestService::Execute(wire::PolicyRequest request,
                                   const ReplyCallback& done) {
  // The leader must not set this again: it may read the request late as well.
  if (request.has_zone())
    request.mutable_zone()->set_changes_before(zone_changes_.AppliedBefore(
        std::chrono::milliseconds(request.zone().max_transit_ms())));
  if (log_.IsCurrentLeader()) {
    ExecuteAsLeader(request, done);
    return;
  }
  const std::string leader = log_.LeaderAddress();
  if (leader.empty()) {
    done({});
    return;
  }
  const std::uint64_t correlation = next_correlation_++;
  forwarded_requests_[correlation] = {
      .done = done, .deadline = clock_.Now() + kForwardTimeout};
  forward_(leader, correlation, request);
}

void PolicyRequestService::ExecuteAsLeader(const wire::PolicyRequest& request,
                                           const ReplyCallback& done) {
  if (!log_.IsCurrentLeader()) {
    done({});
    return;
  }
  if (request.has_read()) {
    wire::PolicyReply reply;
    reply.set_status(wire::POLICY_STATUS_DONE);
    reply.set_version(table_.state().policy().version());
    reply.set_source(table_.state().policy().source());
    done(reply);
    return;
  }
  log_.Propose(
      state::EncodeCommand(wire::TABLE_POLICY, request.SerializeAsString()),
      [done](const consensus::ProposeOutcome& outcome) {
        wire::PolicyReply reply;
        if (outcome.status == consensus::ProposeStatus::kCommitted &&
            !reply.ParseFromString(outcome.result)) {
          support::LogError("policy.result_unreadable",
                            {{"index", outcome.index}});
          reply.Clear();
        }
        support::LogInfo("policy.operated", {{"status", reply.status()},
                                             {"version", reply.version()},
                                             {"index", outcome.index}});
        done(reply);
      });
}

void PolicyRequestService::OnReply(std::uint64_t correlation,
                                   const wire::PolicyReply& reply) {
  const auto found = forwarded_requests_.find(correlation);
  if (found == forwarded_requests_.end())
    return;
  const ReplyCallback done = std::move(found->second.done);
  forwarded_requests_.erase(found);
  done(reply);
}

void PolicyRequestService::OnUndelivered(std::uint64_t correlation,
                                         const std::string& leader) {
  const auto found = forwarded_requests_.find(correlation);
  if (found == forwarded_requests_.end())
    return;
  const ReplyCallback done = std::move(found->second.done);
  forwarded_requests_.erase(found);
  support::LogWarning("policy.leader_unreachable", {{"leader", leader}});
  done({});
}

void PolicyRequestService::Tick() {
  zone_changes_.Update(table_.state().zone_changes());
  const support::TimePoint now = clock_.Now();
  for (auto it = forwarded_requests_.begin();
       it != forwarded_requests_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    const ReplyCallback done = std::move(it->second.done);
    support::LogWarning("policy.leader_silent",
                        {{"leader", log_.LeaderAddress()}});
    it = forwarded_requests_.erase(it);
    done({});
  }
}

void PolicyRequestService::UpdateZones() {
  const auto& zones_out = table_.state().zones_out();
  const support::TimePoint current_as_of = log_.CurrentAsOf();
  zone_dates_.Update({zones_out.begin(), zones_out.end()},
                     current_as_of < started_at_
                         ? std::nullopt
                         : std::make_optional(current_as_of));
  zones_.Set(zone_dates_.out_since());
}

void PolicyRequestService::FillReply(const wire::SyncRequest& request,
                                     wire::SyncReply& reply) {
  UpdateZones();
  const wire::PolicyState& state = table_.state();
  for (const std::string& zone : state.zones_out()) {
    reply.add_zones_out(zone);
    reply.add_zones_out_max_age_ms(ToReportedAge(zones_.MaxAge(zone)));
  }
  reply.set_zones_revision(state.zones_revision());
  if (request.policy_version() >= state.policy().version())
    return;
  reply.set_policy(table_.encoded());
}

}  // namespace yuccastair::control
