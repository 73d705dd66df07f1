// Applies sync replies.

#include "fleet.h"

#include <utility>

#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

// The fleet may repeat a fifth of the requests of a service. A request that
// runs twice makes its calls twice, so in a chain of 4 services the last one
// sees the repeats of all of them.
constexpr double kRetryShare = 0.04;
// Repeats that one relay may make in one go. The allowance of a service beyond
// its share is about 50, which some 15 relays have to share, for each service
// of a chain.
constexpr double kRetryBurst = 1;

routing::Options RouterOptions() {
  routing::Options options;
  options.retry_share = kRetryShare;
  options.retry_burst = kRetryBurst;
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
  added.first->second.router.SetMembers(view_.MembersOf(service));
  return added.first->second;
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
