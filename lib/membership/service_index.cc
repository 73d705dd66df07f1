// Stores members by service and fills membership reports for nodes.

#include "yuccastair/membership/service_index.h"

#include <set>

#include "yuccastair/support/id.h"

namespace yuccastair::membership {

// The initial revision is random. A node that moves here from another control
// process would otherwise take an equal revision for an equal membership.
ServiceIndex::ServiceIndex()
    : base_revision_((std::uint64_t{support::RandomBelow(0x7fffffff)} << 32) +
                     1) {}

ServiceIndex::IndexedService& ServiceIndex::FindOrAddService(
    const std::string& name) {
  const auto [found, added] = services_.try_emplace(name);
  if (added) {
    found->second.revision = base_revision_;
    found->second.oldest_base_revision = base_revision_;
  }
  return found->second;
}

void ServiceIndex::RecordChange(IndexedService& service,
                                const std::string& node_id) {
  ++service.revision;
  service.changed_node_ids.push_back(node_id);
  if (service.changed_node_ids.size() > kMaxChangesPerService) {
    service.changed_node_ids.pop_front();
    ++service.oldest_base_revision;
  }
}

void ServiceIndex::Put(const wire::Member& member) {
  IndexedService& service = FindOrAddService(member.service());
  service.members[member.node_id()] = member;
  RecordChange(service, member.node_id());
}

void ServiceIndex::Remove(const std::string& service,
                          const std::string& node_id) {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.members.erase(node_id) == 0)
    return;
  RecordChange(found->second, node_id);
}

void ServiceIndex::FillReply(const std::string& name,
                             std::uint64_t known_revision,
                             bool complete,
                             wire::SyncReply& reply) const {
  const auto found = services_.find(name);
  if (found == services_.end()) {
    // Only a complete index can report that a service has no members.
    if (complete && known_revision != base_revision_) {
      wire::ServiceMembers* report = reply.add_services();
      report->set_service(name);
      report->set_revision(base_revision_);
      report->set_full(true);
    }
    return;
  }
  const IndexedService& service = found->second;
  if (service.revision == known_revision)
    return;
  wire::ServiceMembers* report = reply.add_services();
  report->set_service(name);
  if (!complete) {
    for (const auto& [node_id, member] : service.members)
      *report->add_members() = member;
    return;
  }
  report->set_revision(service.revision);
  if (known_revision < service.oldest_base_revision ||
      known_revision > service.revision) {
    report->set_full(true);
    for (const auto& [node_id, member] : service.members)
      *report->add_members() = member;
    return;
  }
  report->set_from_revision(known_revision);
  const std::set<std::string> changed_since(
      service.changed_node_ids.end() -
          static_cast<std::ptrdiff_t>(service.revision - known_revision),
      service.changed_node_ids.end());
  for (const std::string& node_id : changed_since) {
    const auto member = service.members.find(node_id);
    if (member == service.members.end())
      report->add_removed_node_ids(node_id);
    else
      *report->add_members() = member->second;
  }
}

}  // namespace yuccastair::membership
