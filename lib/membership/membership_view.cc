// Applies the membership reports of control processes.

#include "yuccastair/membership/membership_view.h"

namespace yuccastair::membership {

std::vector<wire::Member> MembershipView::GetMembers(
    const std::string& service) {
  std::lock_guard lock(mutex_);
  const ServiceState& entry = services_[service];
  std::vector<wire::Member> members;
  members.reserve(entry.members.size());
  for (const auto& [node_id, member] : entry.members)
    members.push_back(member);
  return members;
}

void MembershipView::FillRequest(wire::SyncRequest& request) const {
  std::lock_guard lock(mutex_);
  for (const auto& [name, service] : services_) {
    wire::FollowedService* followed = request.add_followed();
    followed->set_service(name);
    followed->set_revision(service.revision);
  }
}

void MembershipView::Apply(const wire::SyncReply& reply) {
  std::lock_guard lock(mutex_);
  last_reply_at_ = clock_.Now();
  for (const wire::ServiceMembers& report : reply.services()) {
    const auto found = services_.find(report.service());
    if (found != services_.end())
      ApplyReport(found->second, report);
  }
}

void MembershipView::ApplyReport(ServiceState& service,
                                 const wire::ServiceMembers& report) {
  const bool partial = !report.full() && report.from_revision() == 0;
  if (!report.full() && !partial &&
      report.from_revision() != service.revision) {
    service.revision = 0;
    return;
  }
  if (report.full())
    service.members.clear();
  for (const wire::Member& member : report.members())
    service.members[member.node_id()] = member;
  for (const std::string& node_id : report.removed_node_ids())
    service.members.erase(node_id);
  service.reported = true;
  // A control process that has just started reports an incomplete membership,
  // which cannot be the base of an incremental report.
  service.revision = partial ? 0 : report.revision();
}

bool MembershipView::HasUnknownService() const {
  std::lock_guard lock(mutex_);
  for (const auto& [name, service] : services_) {
    if (!service.reported)
      return true;
  }
  return false;
}

bool MembershipView::IsKnown(const std::string& service) const {
  std::lock_guard lock(mutex_);
  const auto found = services_.find(service);
  return found != services_.end() && found->second.revision != 0;
}

std::optional<support::Duration> MembershipView::Age() const {
  std::lock_guard lock(mutex_);
  if (!last_reply_at_)
    return std::nullopt;
  return clock_.Now() - *last_reply_at_;
}

}  // namespace yuccastair::membership
