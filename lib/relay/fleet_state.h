// The fleet as a relay knows it: the policy, the zones and the available
// targets.

#ifndef YUCCASTAIR_LIB_RELAY_FLEET_STATE_H_
#define YUCCASTAIR_LIB_RELAY_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "sync.pb.h"
#include "weighted_round_robin.h"
#include "yuccastair/admission/call_throttle.h"
#include "yuccastair/membership/membership_view.h"
#include "yuccastair/membership/zone_orders.h"
#include "yuccastair/policy/policy_index.h"
#include "yuccastair/routing/retry_policy.h"
#include "yuccastair/routing/router.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// The router and the retry budget of a service.
struct ServiceRouter {
  routing::Router router;
  routing::RetryBudget retry_share;
};

class FleetState {
 public:
  /// \p boot_clock dates the orders for zones.
  FleetState(const support::Clock& clock,
             const support::Clock& boot_clock,
             std::string local_zone);

  /// Applies the reply to the request that FillRequest() filled last. Returns
  /// whether the policy or the zones have changed.
  bool Apply(const wire::SyncReply& reply);
  void FillRequest(wire::SyncRequest& request);

  /// Ends the retirement of zones whose time is over; called every few ms.
  void Tick();

  /// Returns the list of a sync reply; nothing unless it is newer than the list
  /// that was returned last.
  std::optional<admission::CallThrottle::RouteNeeds> TakeRouteNeeds(
      const wire::SyncReply& reply);

  /// Null until a control process has sent the policy.
  std::shared_ptr<const policy::PolicyIndex> policy() const { return policy_; }
  membership::ZoneUse UseOfZone(const std::string& zone) const {
    return zones_.UseOf(zone);
  }
  /// Returns the time for which \p zone still retires; nothing unless it does.
  std::optional<support::Duration> RetirementLeft(
      const std::string& zone) const {
    return zones_.RetirementLeft(zone);
  }
  /// Returns whether \p service has a target in service. Also true while its
  /// members are unknown.
  bool MayHaveTarget(const std::string& service);
  /// Returns whether a target of \p service is known to be in service. Also
  /// true for a service that the policy does not contain, which nothing needs.
  bool KnowsTarget(const std::string& service);
  WeightedRoundRobin& service_picker() { return service_picker_; }
  ServiceRouter& RouterFor(const std::string& service);

 private:
  void CreateRouters();
  void ApplyZones(const wire::SyncReply& reply);

  const support::Clock& clock_;
  const support::Clock& boot_clock_;
  const std::string local_zone_;
  std::shared_ptr<const policy::PolicyIndex> policy_;
  membership::MembershipView view_;
  membership::ZoneOrders zones_;
  // What the routers have been told of zones_.
  std::set<std::string> zones_out_;
  std::set<std::string> zones_retiring_;
  std::uint64_t zones_revision_ = 0;
  // When FillRequest() was last called, by boot_clock_.
  support::TimePoint request_filled_at_;
  std::uint64_t route_needs_version_ = 0;
  WeightedRoundRobin service_picker_;
  std::map<std::string, ServiceRouter> service_routers_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_FLEET_STATE_H_
