// Takes the requests of callers on this instance and of the own target.

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

/// One target that a request was offered to, for the log.
struct AttemptNote {
  std::string target;
  // What was believed of the target's load when it was chosen.
  double load = 0;
  double limit = 0;
  std::chrono::milliseconds took{0};
  std::string result;
};

/// Authorises a request, chooses a target for each attempt and answers the
/// caller. Used on the thread of its io_context.
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

  /// \p own_id is the node id under which this relay is a member, \p service
  /// that of its target.
  Entry(Parts parts, std::string own_id, std::string service);

  stream::Task<void> Handle(stream::ServerExchange& exchange);

  void SetService(std::string service) { service_ = std::move(service); }

  /// How requests have ended since these were taken last.
  RequestCounts& counts() { return counts_; }

 private:
  /// What is known of a request before it is sent.
  struct Request {
    std::shared_ptr<const policy::PolicyIndex> policy;
    const wire::PolicyRoute* route = nullptr;
    support::TimePoint began;
    // When the caller stops waiting; the epoch if it has not said.
    support::TimePoint asked_until;
    RelayCall call;
    // Of a call of the own target: the request that it runs; null otherwise.
    RunningRequests::Held parent;
    // Targets that have been chosen, and how many of them were reached.
    std::vector<std::string> tried;
    std::uint32_t reached = 0;
    std::vector<AttemptNote> attempts;
    // Where no target could be chosen: the members that were known.
    std::optional<std::vector<routing::ExcludedMember>> excluded;
    // Whether a target may have run the request, so that no refusal may say
    // that it has not.
    bool may_have_run = false;
    // The worst that the calls of its target have met; at least
    // kServedAtCapacity where others wait for that target.
    admission::DownstreamOutcome calls_end =
        admission::DownstreamOutcome::kServed;
    // Whether it was refused without reaching a target, since none has room.
    bool without_room = false;
    // The service without targets that it or a call of its target needs.
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
  /// Tells the request whose call \p request is how it ended.
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
