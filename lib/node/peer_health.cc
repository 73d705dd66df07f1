// Heartbeats to nodes with outstanding calls.

#include "peer_health.h"

namespace yuccastair::node {

PeerHealth::PeerHealth(const support::Clock& clock, Options options)
    : clock_(clock), options_(options) {}

void PeerHealth::OnCallStart(const std::string& address) {
  std::lock_guard lock(mutex_);
  Peer& peer = peers_[address];
  if (peer.outstanding++ == 0) {
    peer.heard_at = clock_.Now();
    peer.pinged_at = peer.heard_at;
  }
}

void PeerHealth::OnCallEnd(const std::string& address) {
  std::lock_guard lock(mutex_);
  const auto found = peers_.find(address);
  if (found != peers_.end() && --found->second.outstanding == 0)
    peers_.erase(found);
}

void PeerHealth::OnAnswer(const std::string& address) {
  std::lock_guard lock(mutex_);
  const auto found = peers_.find(address);
  if (found == peers_.end())
    return;
  found->second.heard_at = clock_.Now();
  found->second.silent = false;
}

PeerHealth::Due PeerHealth::Tick() {
  Due due;
  std::lock_guard lock(mutex_);
  const support::TimePoint now = clock_.Now();
  for (auto& [address, peer] : peers_) {
    const auto silence = now - peer.heard_at;
    if (silence < options_.ping_after || peer.silent)
      continue;
    if (silence >= options_.silent_after && peer.pinged_at > peer.heard_at) {
      peer.silent = true;
      due.silent.push_back(address);
    } else if (now - peer.pinged_at >= options_.ping_after) {
      peer.pinged_at = now;
      due.pings.push_back(address);
    }
  }
  return due;
}

bool PeerHealth::IsSilent(const std::string& address) const {
  std::lock_guard lock(mutex_);
  const auto found = peers_.find(address);
  return found != peers_.end() && found->second.silent;
}

}  // namespace yuccastair::node
