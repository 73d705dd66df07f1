// Merges the reports of nodes and of other control processes.

#include "yuccastair/membership/registry.h"

#include <algorithm>
#include <tuple>

namespace yuccastair::membership {
namespace {

bool DescribeSameState(const wire::Member& a, const wire::Member& b) {
  return a.incarnation() == b.incarnation() && a.address() == b.address() &&
         a.service() == b.service() && a.state() == b.state() &&
         a.availability_zone() == b.availability_zone();
}

bool NameSameDepartingTarget(const wire::Member& a, const wire::Member& b) {
  return a.departing_target().target_id() == b.departing_target().target_id() &&
         a.departing_target().started_ms() == b.departing_target().started_ms();
}

bool IsOlder(const wire::Member& a, const wire::Member& b) {
  return std::make_tuple(a.started_ms(), a.sequence()) <
         std::make_tuple(b.started_ms(), b.sequence());
}

/// Returns whether this process has already received \p member from the node. A
/// duplicate must not extend the lifetime of the entry.
bool IsDuplicate(const wire::Member& member,
                 const wire::Member& known,
                 const std::string& source) {
  return source.empty() && member.sequence() != 0 && !IsOlder(known, member);
}

}  // namespace

Registry::Registry(const support::Clock& clock,
                   std::chrono::milliseconds expiry)
    : clock_(clock), expiry_(expiry), started_at_(clock.Now()) {}

bool Registry::IsComplete() const {
  return clock_.Now() - started_at_ >= expiry_;
}

void Registry::ApplyReport(const wire::Member& member) {
  const std::string& node_id = member.node_id();
  const auto found = nodes_.find(node_id);
  if (found != nodes_.end()) {
    for (const auto& [source, known] : found->second.reports) {
      // An earlier incarnation, a reordered report or a duplicate.
      if (IsOlder(member, known) || IsDuplicate(member, known, source))
        return;
    }
  }
  const wire::TargetProcess* departing =
      member.has_departing_target() ? nullptr : FindDepartingTarget(node_id);
  if (departing == nullptr) {
    PutLocalReport(member);
    return;
  }
  wire::Member completed = member;
  *completed.mutable_departing_target() = *departing;
  PutLocalReport(completed);
}

const wire::TargetProcess* Registry::FindDepartingTarget(
    const std::string& node_id) const {
  const auto found = nodes_.find(node_id);
  if (found == nodes_.end())
    return nullptr;
  const wire::Member& latest = LatestReport(found->second);
  return latest.has_departing_target() ? &latest.departing_target() : nullptr;
}

void Registry::PutLocalReport(const wire::Member& member) {
  const std::string& node_id = member.node_id();
  const auto local = local_node_by_id_.find(node_id);
  if (local == local_node_by_id_.end()) {
    local_nodes_.push_back({node_id, clock_.Now()});
    local_node_by_id_.emplace(node_id, std::prev(local_nodes_.end()));
  } else {
    local->second->reported_at = clock_.Now();
    local_nodes_.splice(local_nodes_.end(), local_nodes_, local->second);
    // Most reports change only the sequence number.
    wire::Member& known = nodes_.at(node_id).reports.at("");
    if (DescribeSameState(known, member) &&
        NameSameDepartingTarget(known, member)) {
      known.set_sequence(member.sequence());
      return;
    }
  }
  local_changes_.Put(member);
  PutReport("", member);
}

void Registry::PutReport(const ReportSource& source,
                         const wire::Member& member) {
  Node& node = nodes_[member.node_id()];
  node.reports[source] = member;
  UpdateIndex(node);
}

void Registry::RemoveReport(const ReportSource& source,
                            const std::string& node_id) {
  const auto found = nodes_.find(node_id);
  if (found == nodes_.end())
    return;
  Node& node = found->second;
  node.reports.erase(source);
  if (!node.reports.empty()) {
    UpdateIndex(node);
    return;
  }
  index_.Remove(node.indexed_service, node_id);
  nodes_.erase(found);
}

bool Registry::IsAdvertised(const wire::Member& member) const {
  return !member.service().empty() &&
         member.state() != wire::TARGET_STATE_LEAVING &&
         member.state() != wire::TARGET_STATE_DOWN &&
         zones_out_.count(member.availability_zone()) == 0;
}

bool Registry::IsInService(const wire::Member& member) const {
  return !member.service().empty() &&
         (member.state() == wire::TARGET_STATE_UP ||
          member.state() == wire::TARGET_STATE_COLD) &&
         !IsZoneTakenOut(member.availability_zone());
}

std::vector<std::string> Registry::FindInService(const std::string& service,
                                                 std::size_t limit) const {
  std::vector<std::string> node_ids;
  const auto* members = index_.FindMembers(service);
  if (members == nullptr)
    return node_ids;
  for (const auto& [node_id, member] : *members) {
    if (node_ids.size() >= limit)
      break;
    if (IsInService(member))
      node_ids.push_back(node_id);
  }
  return node_ids;
}

const wire::Member& Registry::LatestReport(const Node& node) {
  const wire::Member* latest = &node.reports.begin()->second;
  for (const auto& [source, report] : node.reports) {
    if (IsOlder(*latest, report))
      latest = &report;
  }
  return *latest;
}

std::vector<Registry::ExcludedTarget> Registry::FindExcludedTargets(
    const std::string& service) const {
  std::vector<ExcludedTarget> excluded;
  for (const auto& [node_id, node] : nodes_) {
    const wire::Member& member = LatestReport(node);
    if (member.service() != service || IsInService(member))
      continue;
    excluded.push_back({node_id, member.availability_zone(), member.state(),
                        IsZoneTakenOut(member.availability_zone())});
  }
  std::sort(excluded.begin(), excluded.end(),
            [](const ExcludedTarget& a, const ExcludedTarget& b) {
              return a.node_id < b.node_id;
            });
  return excluded;
}

void Registry::UpdateIndex(Node& node) {
  const wire::Member* latest = &LatestReport(node);
  const bool advertised = IsAdvertised(*latest);
  if (advertised && node.indexed_service == latest->service() &&
      DescribeSameState(node.indexed_member, *latest))
    return;
  if (!node.indexed_service.empty() &&
      (!advertised || node.indexed_service != latest->service())) {
    index_.Remove(node.indexed_service, latest->node_id());
    node.indexed_service.clear();
  }
  if (!advertised)
    return;
  node.indexed_service = latest->service();
  node.indexed_member = *latest;
  // Of use to the node itself only.
  node.indexed_member.clear_departing_target();
  index_.Put(node.indexed_member);
}

void Registry::RemoveExpired() {
  const auto now = clock_.Now();
  while (!local_nodes_.empty() &&
         now - local_nodes_.front().reported_at >= expiry_) {
    const std::string node_id = local_nodes_.front().node_id;
    local_node_by_id_.erase(node_id);
    local_nodes_.pop_front();
    local_changes_.Remove(node_id);
    RemoveReport("", node_id);
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.last_reply_at < expiry_) {
      ++it;
      continue;
    }
    for (const std::string& node_id : it->second.node_ids)
      RemoveReport(it->first, node_id);
    it = peers_.erase(it);
  }
}

void Registry::SetZonesOut(const std::set<std::string>& out,
                           const std::set<std::string>& retiring) {
  zones_retiring_ = retiring;
  if (out == zones_out_)
    return;
  zones_out_ = out;
  for (auto& [node_id, node] : nodes_)
    UpdateIndex(node);
}

std::set<std::string> Registry::ZonesTakenOut() const {
  std::set<std::string> zones = zones_out_;
  zones.insert(zones_retiring_.begin(), zones_retiring_.end());
  return zones;
}

void Registry::FillReply(const std::string& service,
                         std::uint64_t known_revision,
                         wire::SyncReply& reply) const {
  index_.FillReply(service, known_revision, IsComplete(), reply);
}

wire::MembershipPull Registry::MakePull(const std::string& peer) const {
  wire::MembershipPull pull;
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    pull.set_epoch(found->second.epoch);
    pull.set_sequence(found->second.sequence);
  }
  return pull;
}

wire::MembershipDelta Registry::HandlePull(
    const wire::MembershipPull& pull) const {
  wire::MembershipDelta delta = local_changes_.MakeDelta(pull);
  delta.set_starting(!IsComplete());
  return delta;
}

bool Registry::ApplyDelta(const std::string& peer_name,
                          const wire::MembershipDelta& delta) {
  const auto [found, added] = peers_.try_emplace(peer_name);
  Peer& peer = found->second;
  if (added)
    peer.last_reply_at = clock_.Now();
  if (delta.epoch() == 0 || delta.to_sequence() < delta.from_sequence())
    return false;
  const bool from_start = delta.from_sequence() == 0;
  if (!from_start &&
      (delta.epoch() != peer.epoch || delta.from_sequence() != peer.sequence))
    return false;
  // A node that is missing from the peer's complete list has departed. Until
  // the list is complete the node is kept, so that no live member is dropped. A
  // peer that has just started has no complete list yet.
  if (from_start)
    peer.unconfirmed_node_ids = peer.node_ids;
  peer.epoch = delta.epoch();
  peer.sequence = delta.to_sequence();
  peer.last_reply_at = clock_.Now();
  for (const wire::Member& member : delta.members()) {
    peer.node_ids.insert(member.node_id());
    peer.unconfirmed_node_ids.erase(member.node_id());
    PutReport(peer_name, member);
  }
  for (const std::string& node_id : delta.removed_node_ids()) {
    if (peer.node_ids.erase(node_id) != 0)
      RemoveReport(peer_name, node_id);
  }
  if (!delta.more() && !delta.starting()) {
    for (const std::string& node_id : peer.unconfirmed_node_ids) {
      if (peer.node_ids.erase(node_id) != 0)
        RemoveReport(peer_name, node_id);
    }
    peer.unconfirmed_node_ids.clear();
  }
  return delta.more();
}

}  // namespace yuccastair::membership
