// The change log of the nodes that report to this control process.

#ifndef YUCCASTAIR_MEMBERSHIP_MEMBER_CHANGE_LOG_H_
#define YUCCASTAIR_MEMBERSHIP_MEMBER_CHANGE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "sync.pb.h"

namespace yuccastair::membership {

/// Serves the pulls of other control processes with deltas of bounded size.
///
/// Every change gets the next sequence number and replaces the earlier entry of
/// the same node. Reading from any sequence number on therefore yields
/// everything that changed since.
class MemberChangeLog {
 public:
  /// Maximum number of members and removals in one delta.
  static constexpr std::size_t kMaxEntriesPerDelta = 256;
  /// Maximum number of removals kept; a peer that missed older ones reads the
  /// log from its start.
  static constexpr std::size_t kMaxStoredRemovals = 8192;

  MemberChangeLog();

  void Put(const wire::Member& member);
  void Remove(const std::string& node_id);

  /// Returns the changes since the epoch and sequence number of \p pull, or
  /// from the start of the log if they are not known here.
  wire::MembershipDelta MakeDelta(const wire::MembershipPull& pull) const;

 private:
  struct Change {
    std::string node_id;
    // False for a removal.
    bool present = false;
    wire::Member member;
  };

  void RecordChange(const std::string& node_id, Change change);

  const std::uint64_t epoch_;
  std::uint64_t sequence_ = 0;
  // Sequence number of the latest removal that was discarded.
  std::uint64_t last_discarded_removal_ = 0;
  std::map<std::uint64_t, Change> changes_;
  // Key in changes_ of each node, present or removed.
  std::unordered_map<std::string, std::uint64_t> sequence_by_node_;
  // Node ids of removals by sequence number.
  std::map<std::uint64_t, std::string> removals_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_MEMBER_CHANGE_LOG_H_
