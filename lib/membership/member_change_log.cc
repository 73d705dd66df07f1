// Numbers the changes of the nodes that report to this control process.

#include "yuccastair/membership/member_change_log.h"

#include <utility>

#include "yuccastair/support/id.h"

namespace yuccastair::membership {

MemberChangeLog::MemberChangeLog()
    : epoch_((std::uint64_t{support::RandomBelow(0xffffffff)} << 32) |
             (std::uint64_t{support::RandomBelow(0xffffffff)} + 1)) {}

void MemberChangeLog::RecordChange(const std::string& node_id, Change change) {
  const auto found = sequence_by_node_.find(node_id);
  if (found != sequence_by_node_.end()) {
    changes_.erase(found->second);
    removals_.erase(found->second);
  }
  ++sequence_;
  if (!change.present)
    removals_.emplace(sequence_, node_id);
  changes_.emplace(sequence_, std::move(change));
  sequence_by_node_[node_id] = sequence_;
  if (removals_.size() > kMaxStoredRemovals) {
    const auto oldest_removal = removals_.begin();
    last_discarded_removal_ = oldest_removal->first;
    changes_.erase(oldest_removal->first);
    sequence_by_node_.erase(oldest_removal->second);
    removals_.erase(oldest_removal);
  }
}

void MemberChangeLog::Put(const wire::Member& member) {
  RecordChange(member.node_id(), {member.node_id(), true, member});
}

void MemberChangeLog::Remove(const std::string& node_id) {
  if (sequence_by_node_.count(node_id) != 0)
    RecordChange(node_id, {node_id, false, {}});
}

wire::MembershipDelta MemberChangeLog::MakeDelta(
    const wire::MembershipPull& pull) const {
  const bool known = pull.epoch() == epoch_ && pull.sequence() <= sequence_ &&
                     pull.sequence() >= last_discarded_removal_;
  wire::MembershipDelta delta;
  delta.set_epoch(epoch_);
  delta.set_from_sequence(known ? pull.sequence() : 0);
  std::size_t count = 0;
  auto next = changes_.upper_bound(delta.from_sequence());
  for (; next != changes_.end() && count < kMaxEntriesPerDelta;
       ++next, ++count) {
    if (next->second.present)
      *delta.add_members() = next->second.member;
    else if (delta.from_sequence() != 0)
      delta.add_removed_node_ids(next->second.node_id);
    delta.set_to_sequence(next->first);
  }
  delta.set_more(next != changes_.end());
  if (!delta.more())
    delta.set_to_sequence(sequence_);
  return delta;
}

}  // namespace yuccastair::membership
