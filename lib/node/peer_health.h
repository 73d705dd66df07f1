// Detects nodes that stop responding, by heartbeats to nodes with outstanding
// calls.

#ifndef YUCCASTAIR_LIB_NODE_PEER_HEALTH_H_
#define YUCCASTAIR_LIB_NODE_PEER_HEALTH_H_

#include <chrono>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// Tracks the nodes from which this node awaits replies. Safe for use by
/// several threads.
class PeerHealth {
 public:
  struct Options {
    /// Time without a message after which a Ping is sent, and the interval of
    /// further ones.
    std::chrono::milliseconds ping_interval{200};
    /// Time without a message, despite a Ping, after which a node counts as
    /// silent.
    std::chrono::milliseconds silence_timeout{1000};
  };

  PeerHealth(const support::Clock& clock, Options options);

  void OnCallStart(const std::string& address);
  void OnCallEnd(const std::string& address);

  /// To be called for every message received from \p address.
  void OnReceive(const std::string& address);

  /// The actions that are due.
  struct TickActions {
    /// Nodes to which a Ping is to be sent.
    std::vector<std::string> ping_addresses;
    /// Nodes that have just become silent; their connections are to be closed.
    std::vector<std::string> silent_addresses;
  };
  TickActions Tick();

  bool IsSilent(const std::string& address) const;

 private:
  struct Peer {
    std::uint32_t outstanding_calls = 0;
    // Time of the last message, or the start of the first outstanding call.
    support::TimePoint last_received_at;
    support::TimePoint last_pinged_at;
    bool silent = false;
  };

  const support::Clock& clock_;
  const Options options_;
  mutable std::mutex mutex_;
  // Only nodes with outstanding calls.
  std::unordered_map<std::string, Peer> peers_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_PEER_HEALTH_H_
