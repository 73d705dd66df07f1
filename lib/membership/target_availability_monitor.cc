// Reports each loss and return of the last target once.

#include "yuccastair/membership/target_availability_monitor.h"

#include <algorithm>
#include <utility>

namespace yuccastair::membership {
namespace {

// A service with this many targets in service bears the loss of one.
constexpr std::size_t kSeveralTargets = 2;

}  // namespace

bool TargetAvailabilityMonitor::IsViewSettled(
    std::chrono::milliseconds view_age) {
  const support::TimePoint now = clock_.Now();
  if (view_age > kMaxViewAge)
    view_stale_at_ = now;
  return registry_.IsComplete() && now >= view_stale_at_ + kViewSettlingTime;
}

std::vector<TargetAvailabilityMonitor::Warning>
TargetAvailabilityMonitor::CheckLastTargets(
    const std::set<std::string>& services,
    std::chrono::milliseconds view_age) {
  std::vector<Warning> warnings;
  if (!IsViewSettled(view_age))
    return warnings;
  std::erase_if(targets_in_service_, [&](const auto& entry) {
    return !services.contains(entry.first);
  });
  std::erase_if(at_last_target_, [&](const std::string& service) {
    return !services.contains(service);
  });
  for (const std::string& service : services) {
    const auto in_service = registry_.FindInService(service, kSeveralTargets);
    const std::size_t count = in_service.size();
    const std::size_t before =
        std::exchange(targets_in_service_[service], count);
    if (count >= kSeveralTargets)
      at_last_target_.erase(service);
    if (count >= std::min(before, kSeveralTargets) ||
        !registry_.HasAdvertisedTarget(service))
      continue;
    at_last_target_.insert(service);
    warnings.push_back({service, count > 0 ? in_service.front() : "",
                        registry_.FindExcludedTargets(service)});
  }
  return warnings;
}

std::vector<TargetAvailabilityMonitor::Change> TargetAvailabilityMonitor::Check(
    const std::set<std::string>& services,
    std::chrono::milliseconds view_age) {
  std::vector<Change> changes;
  if (!IsViewSettled(view_age))
    return changes;
  const support::TimePoint now = clock_.Now();
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
