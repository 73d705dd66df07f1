// Sends a call to the node of a chosen target and waits for its reply.

#ifndef YUCCASTAIR_LIB_NODE_FORWARDER_H_
#define YUCCASTAIR_LIB_NODE_FORWARDER_H_

#include <chrono>
#include <functional>

#include "envelope.pb.h"
#include "fleet_view.h"
#include "yuccastair/support/clock.h"
#include "yuccastair/wire/pending_calls.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::node {

/// Chooses targets and makes the attempts of one call.
class Forwarder {
 public:
  Forwarder(FleetView& fleet,
            wire::Transport& transport,
            wire::PendingCalls& pending,
            std::function<void()> wake_sync);

  /// Makes the call within its deadline and attempt budget. \p caller_gone may
  /// be empty.
  wire::CallReply Forward(wire::CallRequest call,
                          support::TimePoint deadline,
                          const std::function<bool()>& caller_gone);

 private:
  wire::CallReply Attempt(const std::string& address,
                          wire::CallRequest call,
                          support::TimePoint deadline,
                          const std::function<bool()>& caller_gone);

  FleetView& fleet_;
  wire::Transport& transport_;
  wire::PendingCalls& pending_;
  std::function<void()> wake_sync_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_FORWARDER_H_
