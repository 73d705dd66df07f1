// Applies reports about the services that routes need.

#include "yuccastair/claims/route_needs_table.h"

#include "yuccastair/support/error.h"

namespace yuccastair::claims {

bool RouteNeedsTable::WouldChange(const wire::RouteNeed& need) const {
  if (need.route().empty() || need.route().size() > kMaxNameBytes ||
      need.service().size() > kMaxNameBytes)
    return false;
  const auto found = services_by_route_.find(need.route());
  if (found == services_by_route_.end())
    return !need.service().empty() && services_by_route_.size() < kMaxRoutes;
  return found->second != need.service();
}

std::string RouteNeedsTable::Apply(std::uint64_t /*index*/,
                                   const std::string& command) {
  wire::RouteNeedCommand parsed;
  if (!parsed.ParseFromString(command))
    return "";
  for (const wire::RouteNeed& need : parsed.needs()) {
    if (!WouldChange(need))
      continue;
    if (need.service().empty())
      services_by_route_.erase(need.route());
    else
      services_by_route_[need.route()] = need.service();
    ++version_;
  }
  return "";
}

void RouteNeedsTable::FillList(wire::RouteNeeds& list) const {
  list.set_version(version_);
  for (const auto& [route, service] : services_by_route_) {
    wire::RouteNeed* need = list.add_needs();
    need->set_route(route);
    need->set_service(service);
  }
}

std::string RouteNeedsTable::TakeSnapshot() const {
  wire::RouteNeeds snapshot;
  FillList(snapshot);
  return snapshot.SerializeAsString();
}

void RouteNeedsTable::RestoreSnapshot(const std::string& snapshot) {
  wire::RouteNeeds parsed;
  if (!parsed.ParseFromString(snapshot))
    throw support::Error("restore snapshot", "",
                         "the snapshot of the route needs cannot be decoded");
  version_ = parsed.version();
  services_by_route_.clear();
  for (const wire::RouteNeed& need : parsed.needs())
    services_by_route_[need.route()] = need.service();
}

}  // namespace yuccastair::claims
