// Turns the HTTP requests of callers and of the local target into calls.

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
  /// The components that process a request, in this order.
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

  /// Handles a request of a caller, which carries its key.
  http::Response HandleCaller(const http::Request& request);

  /// Handles a request of the local target: an announcement, a query of metrics
  /// or decisions, or a call to another service in the context of the request
  /// that the target is serving.
  http::Response HandleTarget(const http::Request& request);

  /// Returns the response to a request that the HTTP server rejected itself.
  http::Response Refuse(const http::Request& request, int status) const;

 private:
  http::Response HandleAnnouncement(const http::Request& request);
  http::Response Explain(const std::string& request_id) const;
  wire::CallReply RunCaller(const http::Request& request,
                            wire::CallRequest& call);
  http::Response HandleTargetCall(const http::Request& request);
  /// Forwards a call. A non-idempotent call with an Idempotency-Key runs only
  /// under its claim.
  wire::CallReply RunOnce(const wire::CallRequest& call,
                          const std::string& idempotency_key,
                          support::TimePoint deadline,
                          const std::function<bool()>& caller_gone);
  /// Forwards a call unless the crash guard rejects it.
  wire::CallReply RunGuarded(const wire::CallRequest& call,
                             support::TimePoint deadline,
                             const std::function<bool()>& caller_gone);

  const Settings& settings_;
  const Duties duties_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_ENTRY_H_
