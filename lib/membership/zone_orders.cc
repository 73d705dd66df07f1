// Dates the orders for zones, and applies the time for which zones retire.

#include "yuccastair/membership/zone_orders.h"

namespace yuccastair::membership {

std::optional<support::Duration> ZoneOrders::MaxAge(
    const std::string& zone) const {
  const auto found = out_since_.find(zone);
  if (found == out_since_.end() || !found->second)
    return std::nullopt;
  return clock_.Now() - *found->second;
}

std::optional<support::Duration> ZoneOrders::RetirementLeft(
    const std::string& zone) const {
  const auto age = MaxAge(zone);
  if (!age || *age >= kRetirementTime)
    return std::nullopt;
  return kRetirementTime - *age;
}

ZoneUse ZoneOrders::UseOf(const std::string& zone) const {
  if (!out_since_.contains(zone))
    return ZoneUse::kInService;
  return RetirementLeft(zone) ? ZoneUse::kRetiring : ZoneUse::kOut;
}

std::set<std::string> ZoneOrders::ZonesIn(ZoneUse use) const {
  std::set<std::string> zones;
  for (const auto& [zone, since] : out_since_) {
    if (UseOf(zone) == use)
      zones.insert(zone);
  }
  return zones;
}

void ZoneOrderDates::Update(const std::set<std::string>& zones_out,
                            std::optional<support::TimePoint> current_as_of) {
  std::erase_if(out_since_, [&](const auto& entry) {
    return !zones_out.contains(entry.first);
  });
  for (const std::string& zone : zones_out)
    out_since_.try_emplace(zone, in_service_as_of_);
  if (current_as_of &&
      (!in_service_as_of_ || *in_service_as_of_ < *current_as_of))
    in_service_as_of_ = current_as_of;
}

}  // namespace yuccastair::membership
