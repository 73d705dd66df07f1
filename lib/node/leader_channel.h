// Requests of a node to the leader of the control processes.

#ifndef YUCCASTAIR_LIB_NODE_LEADER_CHANNEL_H_
#define YUCCASTAIR_LIB_NODE_LEADER_CHANNEL_H_

#include <chrono>
#include <optional>
#include <string>

#include "envelope.pb.h"
#include "leader_hint.h"
#include "yuccastair/wire/pending_calls.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::node {

/// Sends requests to the assumed leader and waits for the reply. Safe for use
/// by several threads.
class LeaderChannel {
 public:
  LeaderChannel(LeaderHint& leader_hint,
                wire::Transport& transport,
                wire::PendingCalls& pending)
      : leader_hint_(leader_hint), transport_(transport), pending_(pending) {}

  /// Sends one request and returns the reply. Without a reply in time it
  /// returns nothing, and the next request goes to another control process. The
  /// request may have been received nevertheless.
  std::optional<wire::Envelope> Exchange(wire::Envelope request,
                                         std::chrono::milliseconds timeout);

  /// Follows a reply of a control process that is not the leader. It may name
  /// the leader; \p leader_address is empty if it does not.
  void Redirect(const std::string& leader_address);

 private:
  LeaderHint& leader_hint_;
  wire::Transport& transport_;
  wire::PendingCalls& pending_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_LEADER_CHANNEL_H_
