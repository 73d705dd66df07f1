// Applies sync replies.

#include "fleet_state.h"

#include <utility>

#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

// Retries are counted exactly at the target (TargetRetryBudget). These limits
// only prevent one relay from requesting more than the whole budget.
constexpr double kMaxRetryShare = 0.3;
constexpr double kMaxRetryBurst = 10;
// The local zone is preferred until its best target reaches this load, since
// traffic between zones is charged. At 1.1, which allows a queue at the local
// target, a tenth of the requests of a zone with slow targets was rejected
// while other zones had free capacity.
constexpr double kLocalZoneMaxLoad = 0.9;

routing::Options RouterOptions() {
  routing::Options options;
  options.retry_share = kMaxRetryShare;
  options.retry_burst = kMaxRetryBurst;
  options.local_zone_max_utilisation = kLocalZoneMaxLoad;
  return options;
}

}  // namespace

FleetState::FleetState(const support::Clock& clock,
                       const support::Clock& boot_clock,
                       std::string local_zone)
    : clock_(clock),
      boot_clock_(boot_clock),
      local_zone_(std::move(local_zone)),
      zones_(boot_clock),
      service_picker_(support::RandomBelow) {}

ServiceRouter& FleetState::RouterFor(const std::string& service) {
  const auto found = service_routers_.find(service);
  if (found != service_routers_.end())
    return found->second;
  const auto added = service_routers_.emplace(
      service,
      ServiceRouter{routing::Router(clock_, RouterOptions(), local_zone_,
                                    support::RandomBelow),
                    routing::RetryBudget(kMaxRetryShare, kMaxRetryBurst)});
  added.first->second.router.SetZonesOut(zones_out_, zones_retiring_);
  added.first->second.router.SetMembers(view_.GetMembers(service));
  return added.first->second;
}

bool FleetState::MayHaveTarget(const std::string& service) {
  return !view_.IsKnown(service) ||
         !RouterFor(service).router.HasNoUsableMember();
}

bool FleetState::KnowsTarget(const std::string& service) {
  return (policy_ && policy_->FindService(service) == nullptr) ||
         !RouterFor(service).router.HasNoUsableMember();
}

std::optional<admission::CallThrottle::RouteNeeds> FleetState::TakeRouteNeeds(
    const wire::SyncReply& reply) {
  if (reply.route_needs().version() <= route_needs_version_)
    return std::nullopt;
  route_needs_version_ = reply.route_needs().version();
  admission::CallThrottle::RouteNeeds needs;
  for (const wire::RouteNeed& need : reply.route_needs().needs())
    needs[need.route()] = need.service();
  return needs;
}

void FleetState::CreateRouters() {
  for (const wire::PolicyService& service : policy_->policy().services())
    RouterFor(service.name());
}

bool FleetState::Apply(const wire::SyncReply& reply) {
  bool changed = false;
  if (!reply.policy().empty()) {
    wire::Policy policy;
    if (!policy.ParseFromString(reply.policy())) {
      support::LogError("policy.unreadable",
                        {{"bytes", reply.policy().size()}});
    } else if (!policy_ || policy.version() > policy_->version()) {
      policy_ = std::make_shared<policy::PolicyIndex>(std::move(policy));
      service_picker_.Reset();
      CreateRouters();
      changed = true;
      support::LogInfo("policy.in_force", {{"version", policy_->version()}});
    }
  }
  if (reply.zones_revision() > zones_revision_) {
    ApplyZones(reply);
    changed = true;
  }
  view_.Apply(reply);
  for (const wire::ServiceMembers& members : reply.services())
    RouterFor(members.service())
        .router.SetMembers(view_.GetMembers(members.service()));
  return changed;
}

void FleetState::ApplyZones(const wire::SyncReply& reply) {
  zones_revision_ = reply.zones_revision();
  const bool dated =
      reply.zones_out_max_age_ms_size() == reply.zones_out_size();
  membership::ZoneOrders::OutSince out_since;
  for (int i = 0; i < reply.zones_out_size(); ++i) {
    auto& since = out_since[reply.zones_out(i)];
    // The reply was made after the request was filled.
    if (dated)
      since = request_filled_at_ -
              std::chrono::milliseconds(reply.zones_out_max_age_ms(i));
  }
  zones_.Set(std::move(out_since));
  support::LogInfo(
      "zones.changed",
      {{"revision", zones_revision_},
       {"zones_out", reply.zones_out()},
       {"zones_retiring", zones_.ZonesIn(membership::ZoneUse::kRetiring)}});
  Tick();
}

void FleetState::Tick() {
  std::set<std::string> out = zones_.ZonesIn(membership::ZoneUse::kOut);
  std::set<std::string> retiring =
      zones_.ZonesIn(membership::ZoneUse::kRetiring);
  if (out == zones_out_ && retiring == zones_retiring_)
    return;
  zones_out_ = std::move(out);
  zones_retiring_ = std::move(retiring);
  for (auto& [name, service] : service_routers_)
    service.router.SetZonesOut(zones_out_, zones_retiring_);
}

void FleetState::FillRequest(wire::SyncRequest& request) {
  request_filled_at_ = boot_clock_.Now();
  request.set_policy_version(policy_ ? policy_->version() : 0);
  request.set_route_needs_version(route_needs_version_);
  view_.FillRequest(request);
}

}  // namespace yuccastair::relay
