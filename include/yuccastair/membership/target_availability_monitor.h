// Detects services without an advertised target.

#ifndef YUCCASTAIR_MEMBERSHIP_TARGET_AVAILABILITY_MONITOR_H_
#define YUCCASTAIR_MEMBERSHIP_TARGET_AVAILABILITY_MONITOR_H_

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
class TargetAvailabilityMonitor {
 public:
  /// A service that lost its last target or has a target again.
  struct Change {
    std::string service;
    bool has_target = false;
    /// Without a target: the known targets and why none of them is advertised.
    std::vector<Registry::ExcludedTarget> excluded_targets;
    /// With a target: how long the service had none.
    support::Duration outage_duration{};
  };

  /// A service that is left with a single target in service, or with retiring
  /// ones only. One more target that goes ends the service.
  struct Warning {
    std::string service;
    /// The target that is left in service; empty if there is none.
    std::string remaining_target;
    /// The other known targets and why they are not in service.
    std::vector<Registry::ExcludedTarget> excluded_targets;
  };

  /// Services are checked only while the view of this process is at most
  /// kMaxViewAge old and has been for kViewSettlingTime, the time in which the
  /// other control processes report their members again. A process that is
  /// disconnected from them does not learn of their targets.
  static constexpr std::chrono::milliseconds kMaxViewAge{800};
  static constexpr std::chrono::milliseconds kViewSettlingTime{1000};

  TargetAvailabilityMonitor(const support::Clock& clock,
                            const Registry& registry)
      : clock_(clock), registry_(registry) {}

  /// Returns the changes of \p services since the last call. Returns nothing
  /// until the registry is complete, and while the view of this process, last
  /// confirmed \p view_age ago, is or recently was stale.
  std::vector<Change> Check(const std::set<std::string>& services,
                            std::chrono::milliseconds view_age);

  /// Returns the services that had more targets in service at the last call and
  /// are left with the last one, under the same conditions as Check().
  std::vector<Warning> CheckLastTargets(const std::set<std::string>& services,
                                        std::chrono::milliseconds view_age);

  /// Returns the number of services that CheckLastTargets() has reported and
  /// that have not regained a second target.
  std::size_t services_at_last_target() const { return at_last_target_.size(); }

  /// Returns the number of services without a target.
  std::size_t services_without_target() const {
    return outage_started_at_.size();
  }

 private:
  /// Returns whether the view of this process is complete and current.
  bool IsViewSettled(std::chrono::milliseconds view_age);

  const support::Clock& clock_;
  const Registry& registry_;
  std::map<std::string, support::TimePoint> outage_started_at_;
  // Number of targets in service at the last check, at most kSeveralTargets.
  std::map<std::string, std::size_t> targets_in_service_;
  std::set<std::string> at_last_target_;
  // When the view was last found to be stale.
  support::TimePoint view_stale_at_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_TARGET_AVAILABILITY_MONITOR_H_
