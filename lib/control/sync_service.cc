// Fills sync replies and sends membership pulls.

#include "sync_service.h"

#include <utility>

namespace yuccastair::control {

SyncService::SyncService(Options options,
                         membership::Registry& registry,
                         const support::Clock& clock)
    : options_(std::move(options)), registry_(registry), clock_(clock) {
  for (const std::string& peer : options_.peers)
    peers_[peer];
}

void SyncService::SetPeers(const std::vector<std::string>& peers) {
  std::map<std::string, Peer> kept;
  for (const std::string& peer : peers)
    kept[peer] = peers_[peer];
  peers_ = std::move(kept);
}

wire::SyncReply SyncService::HandleSync(const wire::SyncRequest& request) {
  wire::SyncReply reply;
  // A request without a sender contains no report.
  if (!request.self().node_id().empty()) {
    registry_.ApplyReport(request.self());
    const wire::TargetProcess* departing =
        registry_.FindDepartingTarget(request.self().node_id());
    if (departing != nullptr && !request.self().has_departing_target())
      *reply.mutable_departing_target() = *departing;
  }
  if (options_.fill_reply)
    options_.fill_reply(request, reply);
  for (const wire::FollowedService& followed : request.followed())
    registry_.FillReply(followed.service(), followed.revision(), reply);
  return reply;
}

wire::MembershipDelta SyncService::HandlePull(
    const wire::MembershipPull& pull) const {
  wire::MembershipDelta delta = registry_.HandlePull(pull);
  delta.set_availability_zone(options_.availability_zone);
  return delta;
}

std::string SyncService::ZoneOf(const std::string& peer) const {
  const auto found = peers_.find(peer);
  return found == peers_.end() ? "" : found->second.availability_zone;
}

void SyncService::SendPull(const std::string& name, Peer& peer) {
  peer.pull_correlation = next_correlation_++;
  peer.pulled_at = clock_.Now();
  options_.send_pull(name, peer.pull_correlation, registry_.MakePull(name));
}

void SyncService::HandleDelta(const std::string& name,
                              std::uint64_t correlation,
                              const wire::MembershipDelta& delta) {
  const auto found = peers_.find(name);
  if (found == peers_.end() || correlation == 0 ||
      found->second.pull_correlation != correlation)
    return;
  // A second reply to the same pull is ignored.
  found->second.pull_correlation = 0;
  found->second.availability_zone = delta.availability_zone();
  if (registry_.ApplyDelta(name, delta))
    SendPull(name, found->second);
}

void SyncService::Tick() {
  registry_.RemoveExpired();
  for (auto& [name, peer] : peers_) {
    if (clock_.Now() - peer.pulled_at >= kPullInterval)
      SendPull(name, peer);
  }
}

}  // namespace yuccastair::control
