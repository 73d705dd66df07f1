// The nodes that report to this control process, with the order of changes.

#ifndef YUCCASTAIR_MEMBERSHIP_HOME_LOG_H_
#define YUCCASTAIR_MEMBERSHIP_HOME_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "sync.pb.h"

namespace yuccastair::membership {

/// Answers the pulls of other control processes with bounded messages.
///
/// Every change has a sequence number and an entry moves to its latest one, so
/// that reading on from any number yields all that changed since.
class HomeLog {
 public:
  /// Largest number of members and removals in one message.
  static constexpr std::size_t kMaxPerMessage = 256;
  /// Removals that are remembered; a peer that missed more starts anew.
  static constexpr std::size_t kMaxRemovals = 8192;

  HomeLog();

  void Put(const wire::Member& member);
  void Remove(const std::string& node_id);

  /// Returns what changed since the state that \p pull names, from the start
  /// where that is not known here.
  wire::MembershipDelta Answer(const wire::MembershipPull& pull) const;

 private:
  struct Change {
    std::string node_id;
    // Not set for a removal.
    bool present = false;
    wire::Member member;
  };

  void Record(const std::string& node_id, Change change);

  const std::uint64_t epoch_;
  std::uint64_t sequence_ = 0;
  // Removals up to this number are forgotten.
  std::uint64_t forgotten_ = 0;
  std::map<std::uint64_t, Change> changes_;
  // Position in changes_ of each node, present or removed.
  std::unordered_map<std::string, std::uint64_t> by_node_;
  // Sequence numbers of removals.
  std::map<std::uint64_t, std::string> removals_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_HOME_LOG_H_
