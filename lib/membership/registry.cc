// Merges the reports of nodes and of other control processes.

#include "yuccastair/membership/registry.h"

#include <algorithm>
#include <tuple>

namespace yuccastair::membership {
namespace {

bool SameMember(const wire::Member& a, const wire::Member& b) {
  return a.incarnation() == b.incarnation() && a.address() == b.address() &&
         a.service() == b.service() && a.state() == b.state() &&
         a.availability_zone() == b.availability_zone();
}

bool IsOlder(const wire::Member& a, const wire::Member& b) {
  return std::make_tuple(a.started_ms(), a.sequence()) <
         std::make_tuple(b.started_ms(), b.sequence());
}

/// Returns whether this process has already received \p member from the node. A
/// duplicate must not extend the lifetime of the entry.
bool IsRepeated(const wire::Member& member,
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

void Registry::Report(const wire::Member& member) {
  const std::string& node_id = member.node_id();
  const auto found = nodes_.find(node_id);
  if (found != nodes_.end()) {
    for (const auto& [source, known] : found->second.reports) {
      // An earlier incarnation, a reordered report or a duplicate.
      if (IsOlder(member, known) || IsRepeated(member, known, source))
        return;
    }
  }
  const auto home = home_by_node_.find(node_id);
  if (home == home_by_node_.end()) {
    homes_.push_back({node_id, clock_.Now()});
    home_by_node_.emplace(node_id, std::prev(homes_.end()));
  } else {
    home->second->reported_at = clock_.Now();
    homes_.splice(homes_.end(), homes_, home->second);
    // Most reports change only the sequence number.
    wire::Member& known = found->second.reports.at("");
    if (SameMember(known, member)) {
      known.set_sequence(member.sequence());
      return;
    }
  }
  home_.Put(member);
  Put("", member);
}

void Registry::Put(const Source& source, const wire::Member& member) {
  Node& node = nodes_[member.node_id()];
  node.reports[source] = member;
  Update(node);
}

void Registry::Drop(const Source& source, const std::string& node_id) {
  const auto found = nodes_.find(node_id);
  if (found == nodes_.end())
    return;
  Node& node = found->second;
  node.reports.erase(source);
  if (!node.reports.empty()) {
    Update(node);
    return;
  }
  index_.Remove(node.indexed_service, node_id);
  nodes_.erase(found);
}

bool Registry::IsOffered(const wire::Member& member) const {
  return !member.service().empty() &&
         member.state() != wire::TARGET_STATE_LEAVING &&
         member.state() != wire::TARGET_STATE_DOWN &&
         zones_out_.count(member.availability_zone()) == 0;
}

const wire::Member& Registry::LatestOf(const Node& node) {
  const wire::Member* latest = &node.reports.begin()->second;
  for (const auto& [source, report] : node.reports) {
    if (IsOlder(*latest, report))
      latest = &report;
  }
  return *latest;
}

std::vector<Registry::LeftOut> Registry::TargetsLeftOut(
    const std::string& service) const {
  std::vector<LeftOut> left_out;
  for (const auto& [node_id, node] : nodes_) {
    const wire::Member& member = LatestOf(node);
    if (member.service() != service || IsOffered(member))
      continue;
    left_out.push_back({node_id, member.availability_zone(), member.state(),
                        zones_out_.count(member.availability_zone()) > 0});
  }
  std::sort(
      left_out.begin(), left_out.end(),
      [](const LeftOut& a, const LeftOut& b) { return a.node_id < b.node_id; });
  return left_out;
}

void Registry::Update(Node& node) {
  const wire::Member* best = &LatestOf(node);
  const bool offered = IsOffered(*best);
  if (offered && node.indexed_service == best->service() &&
      SameMember(node.indexed, *best))
    return;
  if (!node.indexed_service.empty() &&
      (!offered || node.indexed_service != best->service())) {
    index_.Remove(node.indexed_service, best->node_id());
    node.indexed_service.clear();
  }
  if (!offered)
    return;
  index_.Put(*best);
  node.indexed_service = best->service();
  node.indexed = *best;
}

void Registry::RemoveExpired() {
  const auto now = clock_.Now();
  while (!homes_.empty() && now - homes_.front().reported_at >= expiry_) {
    const std::string node_id = homes_.front().node_id;
    home_by_node_.erase(node_id);
    homes_.pop_front();
    home_.Remove(node_id);
    Drop("", node_id);
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.answered_at < expiry_) {
      ++it;
      continue;
    }
    for (const std::string& node_id : it->second.node_ids)
      Drop(it->first, node_id);
    it = peers_.erase(it);
  }
}

void Registry::SetZonesOut(const std::set<std::string>& zones) {
  if (zones == zones_out_)
    return;
  zones_out_ = zones;
  for (auto& [node_id, node] : nodes_)
    Update(node);
}

void Registry::FillReply(const std::string& service,
                         std::uint64_t known_revision,
                         wire::SyncReply& reply) const {
  index_.FillReply(service, known_revision, IsComplete(), reply);
}

wire::MembershipPull Registry::PullFor(const std::string& peer) const {
  wire::MembershipPull pull;
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    pull.set_epoch(found->second.epoch);
    pull.set_sequence(found->second.sequence);
  }
  return pull;
}

wire::MembershipDelta Registry::AnswerPull(
    const wire::MembershipPull& pull) const {
  wire::MembershipDelta delta = home_.Answer(pull);
  delta.set_starting(!IsComplete());
  return delta;
}

bool Registry::ApplyDelta(const std::string& peer_name,
                          const wire::MembershipDelta& delta) {
  const auto [found, added] = peers_.try_emplace(peer_name);
  Peer& peer = found->second;
  if (added)
    peer.answered_at = clock_.Now();
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
    peer.unconfirmed = peer.node_ids;
  peer.epoch = delta.epoch();
  peer.sequence = delta.to_sequence();
  peer.answered_at = clock_.Now();
  for (const wire::Member& member : delta.members()) {
    peer.node_ids.insert(member.node_id());
    peer.unconfirmed.erase(member.node_id());
    Put(peer_name, member);
  }
  for (const std::string& node_id : delta.removed_node_ids()) {
    if (peer.node_ids.erase(node_id) != 0)
      Drop(peer_name, node_id);
  }
  if (!delta.more() && !delta.starting()) {
    for (const std::string& node_id : peer.unconfirmed) {
      if (peer.node_ids.erase(node_id) != 0)
        Drop(peer_name, node_id);
    }
    peer.unconfirmed.clear();
  }
  return delta.more();
}

}  // namespace yuccastair::membership
