// Turns the HTTP requests of callers and of the local target into calls.

#ifndef YUCCASTAIR_LIB_NODE_REQUEST_HANDLER_H_
#define YUCCASTAIR_LIB_NODE_REQUEST_HANDLER_H_

#include <functional>
#include <string>

#include "authoriser.h"
#include "claim_client.h"
#include "crash_guard.h"
#include "forwarder.h"
#include "rate_limiter.h"
#include "running_calls.h"
#include "target_executor.h"
#include "telemetry.h"
#include "yuccastair/http/message.h"
#include "yuccastair/node/settings.h"

namespace yuccastair::node {

/// Handles the requests of both HTTP servers of a node.
class RequestHandler {
 public:
  /// The components that process a request, in this order.
  struct Components {
    Authoriser& authoriser;
    RateLimiter& rate_limiter;
    ClaimClient& claim_client;
    CrashGuard& crash_guard;
    Forwarder& forwarder;
    RunningCalls& running_calls;
    TargetExecutor& target_executor;
    Telemetry& telemetry;
  };

  RequestHandler(const Settings& settings, Components components);

  /// Handles a request of a caller, which carries its key.
  http::Response HandleCallerRequest(const http::Request& request);

  /// Handles a request of the local target: an announcement, a query of metrics
  /// or decisions, or a call to another service in the context of the request
  /// that the target is serving.
  http::Response HandleTargetRequest(const http::Request& request);

  /// Returns the response to a request that the HTTP server rejected itself.
  http::Response MakeRejectionResponse(const http::Request& request,
                                       int status) const;

 private:
  http::Response HandleAnnouncement(const http::Request& request);
  http::Response HandleExplain(const std::string& request_id) const;
  wire::CallReply RunCallerRequest(const http::Request& request,
                                   wire::CallRequest& call);
  http::Response HandleTargetCall(const http::Request& request);
  /// Forwards a call. A non-idempotent call with an Idempotency-Key runs only
  /// under its claim.
  wire::CallReply RunWithClaim(
      const wire::CallRequest& call,
      const std::string& idempotency_key,
      support::TimePoint deadline,
      const std::function<bool()>& caller_disconnected);
  /// Forwards a call unless the crash guard rejects it.
  wire::CallReply RunWithCrashGuard(
      const wire::CallRequest& call,
      support::TimePoint deadline,
      const std::function<bool()>& caller_disconnected);

  const Settings& settings_;
  const Components components_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_REQUEST_HANDLER_H_
