// Applies sync replies.

#include "fleet.h"

#include <utility>

#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

// Retries are counted exactly at the target (RepeatBudget). These limits only
// prevent one relay from requesting more than the whole budget.
constexpr double kRetryShare = 0.3;
constexpr double kRetryBurst = 10;
// The local zone is preferred until its best target reaches this load, since
// traffic between zones is charged. At 1.1, which allows a queue at the local
// target, a tenth of the requests of a zone with slow targets was rejected
// while other zones had free capacity.
constexpr double kOwnZoneRoom = 0.9;

routing::Options RouterOptions() {
  routing::Options options;
  options.retry_share = kRetryShare;
  options.retry_burst = kRetryBurst;
  options.own_zone_room = kOwnZoneRoom;
  return options;
}

}  // namespace

Fleet::Fleet(const support::Clock& clock, std::string own_zone)
    : clock_(clock),
      own_zone_(std::move(own_zone)),
      shares_(support::RandomBelow) {}

ServiceRoute& Fleet::RouteTo(const std::string& service) {
  const auto found = services_.find(service);
  if (found != services_.end())
    return found->second;
  const auto added = services_.emplace(
      service, ServiceRoute{routing::Router(clock_, RouterOptions(), own_zone_,
                                            support::RandomBelow),
                            routing::RetryShare(kRetryShare, kRetryBurst)});
  added.first->second.router.SetZonesOut(zones_out_);
  added.first->second.router.SetMembers(view_.GetMembers(service));
  return added.first->second;
}

bool Fleet::MayHaveTarget(const std::string& service) {
  return !view_.IsKnown(service) ||
         !RouteTo(service).router.HasNoUsableMember();
}

void Fleet::FollowServices() {
  for (const wire::PolicyService& service : policy_->policy().services())
    RouteTo(service.name());
}

bool Fleet::Apply(const wire::SyncReply& reply) {
  bool changed = false;
  if (!reply.policy().empty()) {
    wire::Policy policy;
    if (!policy.ParseFromString(reply.policy())) {
      support::LogError("policy.unreadable",
                        {{"bytes", reply.policy().size()}});
    } else if (!policy_ || policy.version() > policy_->version()) {
      policy_ = std::make_shared<policy::PolicyIndex>(std::move(policy));
      shares_.Reset();
      FollowServices();
      changed = true;
      support::LogInfo("policy.in_force", {{"version", policy_->version()}});
    }
  }
  if (reply.zones_revision() > zones_revision_) {
    zones_revision_ = reply.zones_revision();
    zones_out_ = {reply.zones_out().begin(), reply.zones_out().end()};
    changed = true;
    support::LogInfo("zones.changed", {{"revision", zones_revision_},
                                       {"zones_out", zones_out_}});
    for (auto& [name, service] : services_)
      service.router.SetZonesOut(zones_out_);
  }
  view_.Apply(reply);
  for (const wire::ServiceMembers& members : reply.services())
    RouteTo(members.service())
        .router.SetMembers(view_.GetMembers(members.service()));
  return changed;
}

void Fleet::FillRequest(wire::SyncRequest& request) const {
  request.set_policy_version(policy_ ? policy_->version() : 0);
  view_.FillRequest(request);
}

}  // namespace yuccastair::relay
