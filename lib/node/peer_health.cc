// Heartbeats to nodes with outstanding calls.

#include "peer_health.h"

namespace yuccastair::node {

PeerHealth::PeerHealth(const support::Clock& clock, Options options)
    : clock_(clock), options_(options) {}

void PeerHealth::OnCallStart(const std::string& address) {
  std::lock_guard lock(mutex_);
  Peer& peer = peers_[address];
  if (peer.outstanding_calls++ == 0) {
    peer.last_received_at = clock_.Now();
    peer.last_pinged_at = peer.last_received_at;
  }
}

void PeerHealth::OnCallEnd(const std::string& address) {
  std::lock_guard lock(mutex_);
  const auto found = peers_.find(address);
  if (found != peers_.end() && --found->second.outstanding_calls == 0)
    peers_.erase(found);
}

void PeerHealth::OnReceive(const std::string& address) {
  std::lock_guard lock(mutex_);
  const auto found = peers_.find(address);
  if (found == peers_.end())
    return;
  found->second.last_received_at = clock_.Now();
  found->second.silent = false;
}

PeerHealth::TickActions PeerHealth::Tick() {
  TickActions actions;
  std::lock_guard lock(mutex_);
  const support::TimePoint now = clock_.Now();
  for (auto& [address, peer] : peers_) {
    const auto silence = now - peer.last_received_at;
    if (silence < options_.ping_interval || peer.silent)
      continue;
    if (silence >= options_.silence_timeout &&
        peer.last_pinged_at > peer.last_received_at) {
      peer.silent = true;
      actions.silent_addresses.push_back(address);
    } else if (now - peer.last_pinged_at >= options_.ping_interval) {
      peer.last_pinged_at = now;
      actions.ping_addresses.push_back(address);
    }
  }
  return actions;
}

bool PeerHealth::IsSilent(const std::string& address) const {
  std::lock_guard lock(mutex_);
  const auto found = peers_.find(address);
  return found != peers_.end() && found->second.silent;
}

}  // namespace yuccastair::node
