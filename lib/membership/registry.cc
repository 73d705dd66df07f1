// Records, expires and reports members.

#include "yuccastair/membership/registry.h"

#include "yuccastair/support/id.h"

namespace yuccastair::membership {
namespace {

bool SameMember(const wire::Member& a, const wire::Member& b) {
  return a.incarnation() == b.incarnation() && a.address() == b.address() &&
         a.service() == b.service() && a.state() == b.state() &&
         a.availability_zone() == b.availability_zone();
}

}  // namespace

// The first revision is random, so that a node that moves here from another
// control process does not take an equal number for an equal membership.
Registry::Registry(const support::Clock& clock,
                   std::chrono::milliseconds expiry)
    : clock_(clock),
      expiry_(expiry),
      next_revision_((std::uint64_t{support::RandomBelow(0x7fffffff)} << 32) +
                     1) {}

void Registry::Report(const wire::Member& member) {
  const auto found = entries_.find(member.node_id());
  const bool changed =
      found == entries_.end() || !SameMember(found->second.member, member);
  if (changed && found != entries_.end())
    revisions_[found->second.member.service()] = next_revision_++;
  if (changed)
    revisions_[member.service()] = next_revision_++;
  entries_[member.node_id()] = {member, clock_.Now()};
}

void Registry::RemoveExpired() {
  const auto now = clock_.Now();
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (now - it->second.reported_at < expiry_) {
      ++it;
      continue;
    }
    revisions_[it->second.member.service()] = next_revision_++;
    it = entries_.erase(it);
  }
}

void Registry::FillReply(const std::string& service,
                         std::uint64_t known_revision,
                         wire::SyncReply& reply) const {
  const auto revision = revisions_.find(service);
  if (revision == revisions_.end() || revision->second == known_revision)
    return;
  wire::ServiceMembers* report = reply.add_services();
  report->set_service(service);
  report->set_revision(revision->second);
  report->set_full(true);
  for (const auto& [node_id, entry] : entries_) {
    if (entry.member.service() == service &&
        entry.member.state() != wire::TARGET_STATE_LEAVING)
      *report->add_members() = entry.member;
  }
}

}  // namespace yuccastair::membership
