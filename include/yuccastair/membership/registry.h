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
#include "yuccastair/membership/member_change_log.h"
#include "yuccastair/membership/service_index.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::membership {

/// Soft state about the members of every service. It is rebuilt from the
/// reports of the nodes assigned to this control process and from the deltas of
/// other control processes about their nodes.
///
/// Of several reports about one node, the latest report of the latest
/// incarnation is used, whatever its source. A node's entry expires `expiry`
/// after its last report, or after the last reply of the control process that
/// the node reports to.
class Registry {
 public:
  Registry(const support::Clock& clock, std::chrono::milliseconds expiry);

  /// Records a node's report about itself. A report that is older than the
  /// known ones, or a duplicate, is ignored. A departing target that was
  /// reported before is kept where \p member names none, since the node process
  /// may have restarted.
  void ApplyReport(const wire::Member& member);

  /// Returns the departing target that \p node_id has reported last, also
  /// before a restart; null if there is none.
  const wire::TargetProcess* FindDepartingTarget(
      const std::string& node_id) const;

  /// Removes the nodes whose last report, or whose control process's last
  /// reply, is older than `expiry`.
  void RemoveExpired();

  /// Sets the availability zones that operators have taken out of service. The
  /// members of \p out are not advertised to nodes; those of \p retiring still
  /// are.
  void SetZonesOut(const std::set<std::string>& out,
                   const std::set<std::string>& retiring = {});
  /// Returns the zones that are out of service or retiring.
  std::set<std::string> ZonesTakenOut() const;

  /// Adds the changes of \p service since \p known_revision to \p reply.
  void FillReply(const std::string& service,
                 std::uint64_t known_revision,
                 wire::SyncReply& reply) const;

  /// Returns the next pull for the control process \p peer.
  wire::MembershipPull MakePull(const std::string& peer) const;
  /// Returns the reply to a pull of another control process.
  wire::MembershipDelta HandlePull(const wire::MembershipPull& pull) const;
  /// Applies a delta of \p peer. Returns whether there is more to pull. A delta
  /// that neither follows the last one applied nor reads the peer's log from
  /// its start is ignored.
  bool ApplyDelta(const std::string& peer, const wire::MembershipDelta& delta);

  /// Returns whether `expiry` has passed since this process started, so that
  /// every live node has had time to report.
  bool IsComplete() const;

  /// A known target that is not in service.
  struct ExcludedTarget {
    std::string node_id;
    std::string availability_zone;
    wire::TargetState state = wire::TARGET_STATE_DOWN;
    bool zone_out = false;
  };

  /// Returns whether a target of \p service is advertised to nodes.
  bool HasAdvertisedTarget(const std::string& service) const {
    return index_.HasMembers(service);
  }
  /// Returns up to \p limit nodes of \p service whose targets are in service:
  /// up or cold, and in no zone that operators have taken out.
  std::vector<std::string> FindInService(const std::string& service,
                                         std::size_t limit) const;
  /// Returns the targets of \p service that are not in service, sorted by node
  /// id. Takes time linear in the number of nodes.
  std::vector<ExcludedTarget> FindExcludedTargets(
      const std::string& service) const;

  /// Returns the number of known nodes, with and without targets.
  std::size_t size() const { return nodes_.size(); }

 private:
  // The control process that a report came from; empty if the node sent it to
  // this process.
  using ReportSource = std::string;

  struct Node {
    // Never empty.
    std::map<ReportSource, wire::Member> reports;
    // The service under which the index lists the node; empty if it does not.
    std::string indexed_service;
    wire::Member indexed_member;
  };
  struct LocalNode {
    std::string node_id;
    support::TimePoint reported_at;
  };
  struct Peer {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    support::TimePoint last_reply_at;
    // Nodes that the peer has reported.
    std::unordered_set<std::string> node_ids;
    // While the peer's log is read from its start: nodes not reported again so
    // far.
    std::unordered_set<std::string> unconfirmed_node_ids;
  };

  /// Records a report that is not older than the known ones.
  void PutLocalReport(const wire::Member& member);
  void PutReport(const ReportSource& source, const wire::Member& member);
  void RemoveReport(const ReportSource& source, const std::string& node_id);
  static const wire::Member& LatestReport(const Node& node);
  /// Updates the index entry of a node from its latest report.
  void UpdateIndex(Node& node);
  bool IsAdvertised(const wire::Member& member) const;
  bool IsInService(const wire::Member& member) const;
  bool IsZoneTakenOut(const std::string& zone) const {
    return zones_out_.contains(zone) || zones_retiring_.contains(zone);
  }

  const support::Clock& clock_;
  const std::chrono::milliseconds expiry_;
  const support::TimePoint started_at_;
  std::unordered_map<std::string, Node> nodes_;
  // Nodes that report to this process, ordered by the time of the last report.
  std::list<LocalNode> local_nodes_;
  std::unordered_map<std::string, std::list<LocalNode>::iterator>
      local_node_by_id_;
  std::map<std::string, Peer> peers_;
  std::set<std::string> zones_out_;
  std::set<std::string> zones_retiring_;
  MemberChangeLog local_changes_;
  ServiceIndex index_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_REGISTRY_H_
