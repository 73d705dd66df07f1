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

/// What nodes are told about services. A change of one member costs nothing
/// that grows with the fleet.
class ServiceIndex {
 public:
  /// Changes of one service that can be told without the whole list. A node
  /// that syncs twice a second misses that many only when a large part of the
  /// service changes at once.
  static constexpr std::size_t kMaxChanges = 128;

  ServiceIndex();

  /// Puts a member in place of the one with the same node id.
  void Put(const wire::Member& member);

  /// Removes a member; does nothing if there is none.
  void Remove(const std::string& service, const std::string& node_id);

  bool HasMembers(const std::string& service) const {
    const auto found = services_.find(service);
    return found != services_.end() && !found->second.members.empty();
  }

  /// Adds what changed since \p known_revision: nothing, the changes, or the
  /// whole list where the changes are not known any more. Before the index is
  /// \p complete, nothing is removed at the node.
  void FillReply(const std::string& service,
                 std::uint64_t known_revision,
                 bool complete,
                 wire::SyncReply& reply) const;

 private:
  struct Service {
    // Never 0, which stands for a node that knows nothing.
    std::uint64_t revision = 0;
    // Revision before the oldest of `changes`.
    std::uint64_t oldest = 0;
    // Node ids of the latest changes; each one raised the revision by 1.
    std::deque<std::string> changes;
    std::map<std::string, wire::Member> members;
  };

  void Changed(Service& service, const std::string& node_id);
  Service& ServiceOf(const std::string& name);

  // First revision of every service.
  const std::uint64_t base_revision_;
  std::unordered_map<std::string, Service> services_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_SERVICE_INDEX_H_
