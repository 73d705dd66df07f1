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

/// Sends one request to the believed leader and waits for its answer. Safe for
/// use by several threads.
class LeaderChannel {
 public:
  LeaderChannel(LeaderHint& leader,
                wire::Transport& transport,
                wire::PendingCalls& pending)
      : leader_(leader), transport_(transport), pending_(pending) {}

  /// Returns the answer, or nothing if none came; the next request then goes to
  /// another control process. The receiver may have seen the request all the
  /// same.
  std::optional<wire::Envelope> Exchange(wire::Envelope request,
                                         std::chrono::milliseconds timeout);

  /// The process that answered last is not the leader, but named it.
  void Redirect(const std::string& leader_address);

 private:
  LeaderHint& leader_;
  wire::Transport& transport_;
  wire::PendingCalls& pending_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_LEADER_CHANNEL_H_
