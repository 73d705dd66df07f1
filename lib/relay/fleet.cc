// Applies sync replies.

#include "fleet.h"

#include <utility>

#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

// Repeats are counted exactly where they arrive (RepeatBudget); these bounds
// only keep one relay from asking for more than all of it.
constexpr double kRetryShare = 0.3;
constexpr double kRetryBurst = 10;
// The own zone is used until its best target is nearly full, since bytes
// between zones cost. With 1.1 (a queue at the own target) a tenth of the
// requests of a zone with slow targets was refused while others had room.
constexpr double kOwnZoneRoom = 0.9;

routing::Options RouterOptions() {
  routing::Options options;
  options.retry_share = kRetryShare;
  options.retry_burst = kRetryBurst;
  options.local_zone_max_utilisation = kOwnZoneRoom;
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
                            routing::RetryBudget(kRetryShare, kRetryBurst)});
  added.first->second.router.SetZonesOut(zones_out_);
  added.first->second.router.SetMembers(view_.MembersOf(service));
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
        .router.SetMembers(view_.MembersOf(members.service()));
  return changed;
}

void Fleet::FillRequest(wire::SyncRequest& request) const {
  request.set_policy_version(policy_ ? policy_->version() : 0);
  view_.FillRequest(request);
}

}  // namespace yuccastair::relay
