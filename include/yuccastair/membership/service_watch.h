// Detects services without an advertised target.

#ifndef YUCCASTAIR_MEMBERSHIP_SERVICE_WATCH_H_
#define YUCCASTAIR_MEMBERSHIP_SERVICE_WATCH_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "yuccastair/membership/registry.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::membership {

/// Compares the services of the policy with the targets that are advertised to
/// nodes.
///
/// Operators can remove the last target of a service by commands that are each
/// harmless alone, such as taking a zone out of service while targets leave in
/// other zones. Then every request that needs the service is rejected until an
/// operator acts.
class ServiceWatch {
 public:
  /// A service that lost its last target or has a target again.
  struct Change {
    std::string service;
    bool has_target = false;
    /// Without a target: the known targets and why none of them is advertised.
    std::vector<Registry::LeftOut> left_out;
    /// With a target: how long the service had none.
    support::Duration lasted{};
  };

  /// Services are checked only while the view of this process is at most
  /// kOldestView old and has been for kViewSettles, the time in which the other
  /// control processes report their members again. A process that is
  /// disconnected from them does not learn of their targets.
  static constexpr std::chrono::milliseconds kOldestView{800};
  static constexpr std::chrono::milliseconds kViewSettles{1000};

  ServiceWatch(const support::Clock& clock, const Registry& registry)
      : clock_(clock), registry_(registry) {}

  /// Returns the changes of \p services since the last call. Returns nothing
  /// until the registry is complete, and while the view of this process, last
  /// confirmed \p view_age ago, is or recently was stale.
  std::vector<Change> Check(const std::set<std::string>& services,
                            std::chrono::milliseconds view_age);

  /// Returns the number of services without a target.
  std::size_t without_target() const { return without_since_.size(); }

 private:
  const support::Clock& clock_;
  const Registry& registry_;
  std::map<std::string, support::TimePoint> without_since_;
  // When the view was last found to be stale.
  support::TimePoint view_old_at_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_SERVICE_WATCH_H_
