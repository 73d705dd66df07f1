// Handles the requests of callers on this instance and of the local target.

#ifndef YUCCASTAIR_LIB_RELAY_REQUEST_HANDLER_H_
#define YUCCASTAIR_LIB_RELAY_REQUEST_HANDLER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "call.h"
#include "fleet_state.h"
#include "peer_client.h"
#include "rate_limiter.h"
#include "request_counts.h"
#include "request_gate.h"
#include "target_proxy.h"
#include "traffic_counts.h"
#include "yuccastair/observe/line_budget.h"
#include "yuccastair/observe/metrics.h"
#include "yuccastair/relay/adapter.h"
#include "yuccastair/stream/server.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// One attempt to send a request to a target, for the log.
struct AttemptRecord {
  std::string target;
  // Estimated load of the target when it was chosen.
  double load = 0;
  double limit = 0;
  std::chrono::milliseconds duration{0};
  std::string result;
};

/// Authorises each request, chooses a target for each attempt and responds to
/// the caller. Used on the thread of its io_context.
class RequestHandler {
 public:
  struct Dependencies {
    const support::Clock& clock;
    const HeaderNames& names;
    FleetState& fleet;
    TargetProxy& target;
    PeerClient& peers;
    RateLimiter& rates;
    RequestGate& gate;
    observe::Metrics& metrics;
    TrafficCounts& traffic;
  };

  /// \p node_id is the node id of this relay in the membership, \p service the
  /// service of its target.
  RequestHandler(Dependencies deps, std::string node_id, std::string service);

  stream::Task<void> Handle(stream::ServerExchange& exchange);

  void SetService(std::string service) { service_ = std::move(service); }

  /// Outcomes of requests since the counts were last taken.
  RequestCounts& counts() { return counts_; }

 private:
  /// State of a request while it is handled.
  struct Request {
    std::shared_ptr<const policy::PolicyIndex> policy;
    const wire::PolicyRoute* route = nullptr;
    support::TimePoint started_at;
    // Deadline that the caller stated; the epoch if it stated none.
    support::TimePoint caller_deadline;
    RelayCall call;
    // For a call of the local target: the request that makes the call;
    // otherwise null.
    RunningRequests::RequestPtr parent;
    // Targets that were chosen, and how many of them received the request.
    std::vector<std::string> tried_targets;
    std::uint32_t reached_targets = 0;
    // Of those, how many rejected it although they had free slots.
    std::uint32_t rejecting_targets_with_free_slots = 0;
    std::vector<AttemptRecord> attempts;
    // If no target could be chosen: the known members with the reasons for
    // their exclusion.
    std::optional<std::vector<routing::ExcludedMember>> excluded_members;
    // Whether a target may have run the request. A rejection must not state
    // otherwise.
    bool may_have_run = false;
    // Worst outcome among the calls of its target; at least kServedAtCapacity
    // if other requests wait for that target.
    admission::DownstreamOutcome worst_call_outcome =
        admission::DownstreamOutcome::kServed;
    // Whether the request was rejected for lack of capacity before any target
    // received it.
    bool rejected_for_capacity = false;
    // Service without targets that the request or one of its calls needs.
    std::string missing_service;
  };
  // Minimum retry time of rejected callers.
  static constexpr std::chrono::milliseconds kMinRetryAfter{50};

  struct Rejection {
    unsigned status = 0;
    std::string reason;
    std::chrono::milliseconds retry_after{0};
  };

  bool Prepare(const stream::http::header<true>& head,
               Request& request,
               Rejection& rejection);
  bool Authorise(const std::string& credentials,
                 Request& request,
                 Rejection& rejection) const;
  void SetDeadlines(const std::string& announced, Request& request) const;
  void InheritFromParent(Request& request) const;
  RequestGate::Origin OriginOf(const Request& request) const;
  stream::Task<CallResult> SendWithRetries(Request& request);
  stream::Task<CallResult> SendAttempt(Request& request,
                                       const routing::Choice& choice);
  bool MayRetry(const Request& request, const CallResult& result);
  stream::Task<void> Respond(stream::ServerExchange& exchange,
                             Request& request,
                             CallResult result);
  stream::Task<void> Reject(stream::ServerExchange& exchange,
                            const Request& request,
                            const Rejection& rejection);
  Rejection RefusalOfStoppingRelay(const Request& request) const;
  std::chrono::milliseconds RandomRetryAfter(const Request& request) const;
  /// The same for a caller of a service without targets, whose return nobody
  /// knows.
  std::chrono::milliseconds RetryAfterMissingService(
      const Request& request) const;
  Rejection RejectionFor(const Request& request,
                         const CallResult& result) const;
  static admission::DownstreamOutcome RejectionOf(const Request& request);
  /// Records the outcome of \p request in the request that made it as a call.
  void RecordOutcomeInParent(const Request& request, unsigned status);
  void RecordOutcome(const Request& request,
                     unsigned status,
                     const std::string& reason);

  const Dependencies deps_;
  const std::string node_id_;
  std::string service_;
  observe::LineBudget log_budget_;
  RequestCounts counts_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_REQUEST_HANDLER_H_
