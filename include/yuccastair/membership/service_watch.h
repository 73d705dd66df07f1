// Notices services that have lost their last target.

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

/// Compares the services of the policy with the targets that nodes are offered.
/// Operators can take away the last target of a service by orders that are
/// harmless one by one, such as a zone taken out while targets leave elsewhere;
/// then every request that needs the service is refused until they act.
class ServiceWatch {
 public:
  /// A service has lost its last target, or has one again.
  struct Change {
    std::string service;
    bool has_target = false;
    /// Where it has none: the targets that are known and why none of them is
    /// offered.
    std::vector<Registry::LeftOut> left_out;
    /// Where it has one again: how long it had none.
    support::Duration lasted{};
  };

  /// Services are judged by a view that is not older than this, and has not
  /// been for a time in which other control processes tell their members again.
  /// A process that is cut off from them does not hear of their targets.
  static constexpr std::chrono::milliseconds kOldestView{800};
  static constexpr std::chrono::milliseconds kViewSettles{1000};

  ServiceWatch(const support::Clock& clock, const Registry& registry)
      : clock_(clock), registry_(registry) {}

  /// Returns what has changed for \p services since the last call; nothing
  /// until the registry is complete, and while the view of this process,
  /// confirmed \p view_age ago, is old.
  std::vector<Change> Check(const std::set<std::string>& services,
                            std::chrono::milliseconds view_age);

  /// The number of services without a target.
  std::size_t without_target() const { return without_since_.size(); }

 private:
  const support::Clock& clock_;
  const Registry& registry_;
  std::map<std::string, support::TimePoint> without_since_;
  // When the view was last seen to be old.
  support::TimePoint view_old_at_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_SERVICE_WATCH_H_
