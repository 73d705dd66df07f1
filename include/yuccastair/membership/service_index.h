// The members of each service, with the latest changes.

#ifndef YUCCASTAIR_MEMBERSHIP_SERVICE_INDEX_H_
#define YUCCASTAIR_MEMBERSHIP_SERVICE_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "sync.pb.h"

namespace yuccastair::membership {

/// The membership that nodes receive. The cost of changing one member does not
/// grow with the size of the fleet.
class ServiceIndex {
 public:
  /// Maximum number of changes kept for one service. A node that missed more
  /// receives the whole list. A node that syncs twice a second misses that many
  /// only when a large part of the service changes at once.
  static constexpr std::size_t kMaxChangesPerService = 128;

  ServiceIndex();

  /// Adds a member or replaces the one with the same node id.
  void Put(const wire::Member& member);

  /// Removes a member; does nothing if it does not exist.
  void Remove(const std::string& service, const std::string& node_id);

  bool HasMembers(const std::string& service) const {
    const auto* members = FindMembers(service);
    return members != nullptr && !members->empty();
  }

  /// Returns the members of \p service by node id; null if it never had any.
  const std::map<std::string, wire::Member>* FindMembers(
      const std::string& service) const {
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second.members;
  }

  /// Adds the changes since \p known_revision to \p reply: nothing, the
  /// changes, or the whole list if the changes are no longer kept. Unless the
  /// index is \p complete, the report removes no member at the node.
  void FillReply(const std::string& service,
                 std::uint64_t known_revision,
                 bool complete,
                 wire::SyncReply& reply) const;

 private:
  struct IndexedService {
    // Never 0, which a node without a complete membership sends.
    std::uint64_t revision = 0;
    // Revision before the oldest entry of `changes`.
    std::uint64_t oldest_base_revision = 0;
    // Node ids of the latest changes; each change increments the revision.
    std::deque<std::string> changed_node_ids;
    std::map<std::string, wire::Member> members;
  };

  void RecordChange(IndexedService& service, const std::string& node_id);
  IndexedService& FindOrAddService(const std::string& name);

  // Initial revision of every service.
  const std::uint64_t base_revision_;
  std::unordered_map<std::string, IndexedService> services_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_SERVICE_INDEX_H_
