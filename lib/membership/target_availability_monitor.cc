// Reports each loss and return of the last target once.

#include "yuccastair/membership/target_availability_monitor.h"

namespace yuccastair::membership {

std::vector<TargetAvailabilityMonitor::Change> TargetAvailabilityMonitor::Check(
    const std::set<std::string>& services,
    std::chrono::milliseconds view_age) {
  std::vector<Change> changes;
  const support::TimePoint now = clock_.Now();
  if (view_age > kMaxViewAge)
    view_stale_at_ = now;
  if (!registry_.IsComplete() || now < view_stale_at_ + kViewSettlingTime)
    return changes;
  std::erase_if(outage_started_at_, [&](const auto& entry) {
    return !services.contains(entry.first);
  });
  for (const std::string& service : services) {
    const auto outage_start = outage_started_at_.find(service);
    const bool had_target = outage_start == outage_started_at_.end();
    const bool has_target = registry_.HasAdvertisedTarget(service);
    if (has_target == had_target)
      continue;
    Change change{service, has_target, {}, {}};
    if (has_target) {
      change.outage_duration = now - outage_start->second;
      outage_started_at_.erase(outage_start);
    } else {
      change.excluded_targets = registry_.FindExcludedTargets(service);
      outage_started_at_.emplace(service, now);
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

}  // namespace yuccastair::membership
