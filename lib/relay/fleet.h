// What a relay knows of the fleet: the policy and the targets to choose from.

#ifndef YUCCASTAIR_LIB_RELAY_FLEET_H_
#define YUCCASTAIR_LIB_RELAY_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "share_picker.h"
#include "sync.pb.h"
#include "yuccastair/membership/fleet_view.h"
#include "yuccastair/policy/policy_index.h"
#include "yuccastair/routing/retry_policy.h"
#include "yuccastair/routing/router.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// The router and the retry budget of one service.
struct ServiceRoute {
  routing::Router router;
  routing::RetryBudget retries;
};

class Fleet {
 public:
  Fleet(const support::Clock& clock, std::string own_zone);

  /// Takes a sync reply. Returns whether policy or zones have changed.
  bool Apply(const wire::SyncReply& reply);
  void FillRequest(wire::SyncRequest& request) const;

  /// Null until a control process has told it.
  std::shared_ptr<const policy::PolicyIndex> policy() const { return policy_; }
  bool IsZoneOut(const std::string& zone) const {
    return zones_out_.count(zone) > 0;
  }
  /// Returns whether \p service has a target in service, or its members are not
  /// known.
  bool MayHaveTarget(const std::string& service);
  SharePicker& shares() { return shares_; }
  ServiceRoute& RouteTo(const std::string& service);

 private:
  void FollowServices();

  const support::Clock& clock_;
  const std::string own_zone_;
  std::shared_ptr<const policy::PolicyIndex> policy_;
  membership::FleetView view_;
  std::set<std::string> zones_out_;
  std::uint64_t zones_revision_ = 0;
  SharePicker shares_;
  std::map<std::string, ServiceRoute> services_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_FLEET_H_
