// Numbers the changes of the nodes that report to this control process.

#include "yuccastair/membership/home_log.h"

#include <utility>

#include "yuccastair/support/id.h"

namespace yuccastair::membership {

HomeLog::HomeLog()
    : epoch_((std::uint64_t{support::RandomBelow(0xffffffff)} << 32) |
             (std::uint64_t{support::RandomBelow(0xffffffff)} + 1)) {}

void HomeLog::Record(const std::string& node_id, Change change) {
  const auto found = by_node_.find(node_id);
  if (found != by_node_.end()) {
    changes_.erase(found->second);
    removals_.erase(found->second);
  }
  ++sequence_;
  if (!change.present)
    removals_.emplace(sequence_, node_id);
  changes_.emplace(sequence_, std::move(change));
  by_node_[node_id] = sequence_;
  if (removals_.size() > kMaxRemovals) {
    const auto oldest = removals_.begin();
    forgotten_ = oldest->first;
    changes_.erase(oldest->first);
    by_node_.erase(oldest->second);
    removals_.erase(oldest);
  }
}

void HomeLog::Put(const wire::Member& member) {
  Record(member.node_id(), {member.node_id(), true, member});
}

void HomeLog::Remove(const std::string& node_id) {
  if (by_node_.count(node_id) != 0)
    Record(node_id, {node_id, false, {}});
}

wire::MembershipDelta HomeLog::Answer(const wire::MembershipPull& pull) const {
  const bool known = pull.epoch() == epoch_ && pull.sequence() <= sequence_ &&
                     pull.sequence() >= forgotten_;
  wire::MembershipDelta delta;
  delta.set_epoch(epoch_);
  delta.set_from_sequence(known ? pull.sequence() : 0);
  std::size_t count = 0;
  auto next = changes_.upper_bound(delta.from_sequence());
  for (; next != changes_.end() && count < kMaxPerMessage; ++next, ++count) {
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
