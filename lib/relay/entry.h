// Handles the requests of callers on this instance and of the local target.

#ifndef YUCCASTAIR_LIB_RELAY_ENTRY_H_
#define YUCCASTAIR_LIB_RELAY_ENTRY_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "call.h"
#include "fleet.h"
#include "peer_client.h"
#include "rate_guard.h"
#include "request_counts.h"
#include "target_proxy.h"
#include "yuccastair/observe/line_budget.h"
#include "yuccastair/observe/metrics.h"
#include "yuccastair/relay/adapter.h"
#include "yuccastair/stream/server.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// One attempt to send a request to a target, for the log.
struct AttemptNote {
  std::string target;
  // Estimated load of the target when it was chosen.
  double load = 0;
  double limit = 0;
  std::chrono::milliseconds took{0};
  std::string result;
};

/// Authorises each request, chooses a target for each attempt and responds to
/// the caller. Used on the thread of its io_context.
class Entry {
 public:
  struct Parts {
    const support::Clock& clock;
    const HeaderNames& names;
    Fleet& fleet;
    TargetProxy& target;
    PeerClient& peers;
    RateGuard& rates;
    observe::Metrics& metrics;
  };

  /// \p own_id is the node id of this relay in the membership, \p service the
  /// service of its target.
  Entry(Parts parts, std::string own_id, std::string service);

  stream::Task<void> Handle(stream::ServerExchange& exchange);

  void SetService(std::string service) { service_ = std::move(service); }

  /// Outcomes of requests since the counts were last taken.
  RequestCounts& counts() { return counts_; }

 private:
  /// State of a request while it is handled.
  struct Request {
    std::shared_ptr<const policy::PolicyIndex> policy;
    const wire::PolicyRoute* route = nullptr;
    support::TimePoint began;
    // Deadline that the caller stated; the epoch if it stated none.
    support::TimePoint asked_until;
    RelayCall call;
    // For a call of the local target: the request that makes the call;
    // otherwise null.
    RunningRequests::Held parent;
    // Targets that were chosen, and how many of them received the request.
    std::vector<std::string> tried;
    std::uint32_t reached = 0;
    std::vector<AttemptNote> attempts;
    // If no target could be chosen: the known members with the reasons for
    // their exclusion.
    std::optional<std::vector<routing::Excluded>> excluded;
    // Whether a target may have run the request. A rejection must not state
    // otherwise.
    bool may_have_run = false;
    // Worst outcome among the calls of its target; at least kServedByFull if
    // other requests wait for that target.
    admission::CallsEnd calls_end = admission::CallsEnd::kServed;
    // Whether the request was rejected for lack of capacity before any target
    // received it.
    bool without_room = false;
    // Service without targets that the request or one of its calls needs.
    std::string missing_service;
  };
  struct Refusal {
    unsigned status = 0;
    std::string reason;
    std::chrono::milliseconds retry_after{0};
  };

  bool Prepare(const stream::http::header<true>& head,
               Request& request,
               Refusal& refusal);
  bool Authorise(const std::string& credentials,
                 Request& request,
                 Refusal& refusal) const;
  void SetDeadlines(const std::string& announced, Request& request) const;
  void InheritFromParent(Request& request) const;
  stream::Task<CallResult> Send(Request& request);
  stream::Task<CallResult> Attempt(Request& request,
                                   const routing::Choice& choice);
  bool MayRepeat(const Request& request, const CallResult& result);
  stream::Task<void> Answer(stream::ServerExchange& exchange,
                            Request& request,
                            CallResult result);
  stream::Task<void> Refuse(stream::ServerExchange& exchange,
                            const Request& request,
                            const Refusal& refusal);
  std::chrono::milliseconds SpreadRetry(const Request& request) const;
  Refusal RefusalFor(const Request& request, const CallResult& result) const;
  /// Records the outcome of \p request in the request that made it as a call.
  static void NoteCallEnd(const Request& request, unsigned status);
  void Record(const Request& request,
              unsigned status,
              const std::string& reason);

  const Parts parts_;
  const std::string own_id_;
  std::string service_;
  observe::LineBudget lines_;
  RequestCounts counts_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_ENTRY_H_
