// Applies membership reports of the control processes.

#include "fleet_view.h"

namespace yuccastair::node {

std::vector<wire::Member> FleetView::MembersOf(const std::string& service) {
  std::lock_guard lock(mutex_);
  const Service& entry = services_[service];
  std::vector<wire::Member> members;
  members.reserve(entry.members.size());
  for (const auto& [node_id, member] : entry.members)
    members.push_back(member);
  return members;
}

void FleetView::FillRequest(wire::SyncRequest& request) const {
  std::lock_guard lock(mutex_);
  for (const auto& [name, service] : services_) {
    wire::FollowedService* followed = request.add_followed();
    followed->set_service(name);
    followed->set_revision(service.revision);
  }
}

void FleetView::Apply(const wire::SyncReply& reply) {
  std::lock_guard lock(mutex_);
  for (const wire::ServiceMembers& report : reply.services()) {
    const auto found = services_.find(report.service());
    if (found == services_.end())
      continue;
    Service& service = found->second;
    if (report.full())
      service.members.clear();
    for (const wire::Member& member : report.members())
      service.members[member.node_id()] = member;
    for (const std::string& node_id : report.removed_node_ids())
      service.members.erase(node_id);
    service.revision = report.revision();
  }
}

bool FleetView::HasUnknownService() const {
  std::lock_guard lock(mutex_);
  for (const auto& [name, service] : services_) {
    if (service.revision == 0)
      return true;
  }
  return false;
}

}  // namespace yuccastair::node
