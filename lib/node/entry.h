// The entry: turns HTTP requests of callers and of the own target into calls.

#ifndef YUCCASTAIR_LIB_NODE_ENTRY_H_
#define YUCCASTAIR_LIB_NODE_ENTRY_H_

#include <functional>
#include <string>

#include "authoriser.h"
#include "claim_gate.h"
#include "crash_guard.h"
#include "forwarder.h"
#include "observer.h"
#include "rate_gate.h"
#include "running_calls.h"
#include "target_side.h"
#include "yuccastair/http/message.h"
#include "yuccastair/node/settings.h"

namespace yuccastair::node {

/// Handles the requests of both HTTP servers of a node.
class Entry {
 public:
  /// The duties that a request passes, in this order.
  struct Duties {
    Authoriser& authoriser;
    RateGate& rates;
    ClaimGate& claims;
    CrashGuard& crashes;
    Forwarder& forwarder;
    RunningCalls& running;
    TargetSide& target;
    Observer& observer;
  };

  Entry(const Settings& settings, Duties duties);

  /// A request of a caller, with its key.
  http::Response HandleCaller(const http::Request& request);

  /// A request of the own target: an announcement, or a call to another service
  /// in the context of the request that the target is serving.
  http::Response HandleTarget(const http::Request& request);

  /// The response to a request that the HTTP server refused by itself.
  http::Response Refuse(const http::Request& request, int status) const;

 private:
  http::Response HandleAnnouncement(const http::Request& request);
  http::Response Explain(const std::string& request_id) const;
  wire::CallReply RunCaller(const http::Request& request,
                            wire::CallRequest& call);
  http::Response HandleTargetCall(const http::Request& request);
  /// Forwards a call; a non-idempotent one with a key only under its claim.
  wire::CallReply RunOnce(const wire::CallRequest& call,
                          const std::string& idempotency_key,
                          support::TimePoint deadline,
                          const std::function<bool()>& caller_gone);
  /// Forwards a call unless it is known to crash targets.
  wire::CallReply RunGuarded(const wire::CallRequest& call,
                             support::TimePoint deadline,
                             const std::function<bool()>& caller_gone);

  const Settings& settings_;
  const Duties duties_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_ENTRY_H_
