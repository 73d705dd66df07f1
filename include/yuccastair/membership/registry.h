// The registry of nodes and their targets at a control process.

#ifndef YUCCASTAIR_MEMBERSHIP_REGISTRY_H_
#define YUCCASTAIR_MEMBERSHIP_REGISTRY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "sync.pb.h"
#include "yuccastair/membership/home_log.h"
#include "yuccastair/membership/service_index.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::membership {

/// Soft state about the members of every service, rebuilt from what nodes
/// report here and what other control processes know of theirs.
///
/// Of several reports about one node, the one of the latest incarnation and in
/// it the latest report counts, wherever it came from. A node's entry lasts
/// `expiry` after its last report, or after the last answer of the control
/// process to which it reports.
class Registry {
 public:
  Registry(const support::Clock& clock, std::chrono::milliseconds expiry);

  /// Records what a node says about itself. A report that is older than what is
  /// known of the node changes nothing.
  void Report(const wire::Member& member);

  /// Removes members that have not reported in time.
  void RemoveExpired();

  /// Takes these availability zones out of service, and all others in: their
  /// members are not offered to nodes.
  void SetZonesOut(const std::set<std::string>& zones);

  /// Adds to \p reply what changed in \p service since \p known_revision.
  void FillReply(const std::string& service,
                 std::uint64_t known_revision,
                 wire::SyncReply& reply) const;

  /// Returns what to ask the control process \p peer.
  wire::MembershipPull PullFor(const std::string& peer) const;
  /// Answers another control process.
  wire::MembershipDelta AnswerPull(const wire::MembershipPull& pull) const;
  /// Applies the answer of \p peer. Returns whether there is more to pull. An
  /// answer that does not continue what is known is ignored.
  bool ApplyDelta(const std::string& peer, const wire::MembershipDelta& delta);

  /// Returns whether every live node has had the time to report since this
  /// process started.
  bool IsComplete() const;

  /// A target that is known and not offered to nodes.
  struct LeftOut {
    std::string node_id;
    std::string availability_zone;
    wire::TargetState state = wire::TARGET_STATE_DOWN;
    bool zone_out = false;
  };

  /// Returns whether nodes are offered a target of \p service.
  bool HasTarget(const std::string& service) const {
    return index_.HasMembers(service);
  }
  /// Returns the targets of \p service that nodes are not offered. Takes time
  /// that grows with the number of nodes.
  std::vector<LeftOut> TargetsLeftOut(const std::string& service) const;

  /// Returns the number of known nodes, with and without targets.
  std::size_t size() const { return nodes_.size(); }

 private:
  // Empty for what was reported here.
  using Source = std::string;

  struct Node {
    // By where it came from; never empty.
    std::map<Source, wire::Member> reports;
    // The service under which the index holds the node; empty if it does not.
    std::string indexed_service;
    wire::Member indexed;
  };
  struct Home {
    std::string node_id;
    support::TimePoint reported_at;
  };
  struct Peer {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    support::TimePoint answered_at;
    // Nodes that the peer has named.
    std::unordered_set<std::string> node_ids;
    // While the peer is read from its start: nodes not named again so far.
    std::unordered_set<std::string> unconfirmed;
  };

  void Put(const Source& source, const wire::Member& member);
  void Drop(const Source& source, const std::string& node_id);
  static const wire::Member& LatestOf(const Node& node);
  /// Brings the index in line with the reports about a node.
  void Update(Node& node);
  bool IsOffered(const wire::Member& member) const;

  const support::Clock& clock_;
  const std::chrono::milliseconds expiry_;
  const support::TimePoint started_at_;
  std::unordered_map<std::string, Node> nodes_;
  // Nodes that report here, ordered by the time of the last report.
  std::list<Home> homes_;
  std::unordered_map<std::string, std::list<Home>::iterator> home_by_node_;
  std::map<std::string, Peer> peers_;
  std::set<std::string> zones_out_;
  HomeLog home_;
  ServiceIndex index_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_REGISTRY_H_
