// Reports each loss and return of the last target once.

#include "yuccastair/membership/service_watch.h"

namespace yuccastair::membership {

std::vector<ServiceWatch::Change> ServiceWatch::Check(
    const std::set<std::string>& services,
    std::chrono::milliseconds view_age) {
  std::vector<Change> changes;
  const support::TimePoint now = clock_.Now();
  if (view_age > kOldestView)
    view_old_at_ = now;
  if (!registry_.IsComplete() || now < view_old_at_ + kViewSettles)
    return changes;
  std::erase_if(without_since_, [&](const auto& entry) {
    return !services.contains(entry.first);
  });
  for (const std::string& service : services) {
    const auto since = without_since_.find(service);
    const bool had_target = since == without_since_.end();
    const bool has_target = registry_.HasTarget(service);
    if (has_target == had_target)
      continue;
    Change change{service, has_target, {}, {}};
    if (has_target) {
      change.lasted = now - since->second;
      without_since_.erase(since);
    } else {
      change.left_out = registry_.TargetsLeftOut(service);
      without_since_.emplace(service, now);
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

}  // namespace yuccastair::membership
