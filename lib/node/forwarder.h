// Makes the attempts of a call: chooses targets, waits, cancels and retries.

#ifndef YUCCASTAIR_LIB_NODE_FORWARDER_H_
#define YUCCASTAIR_LIB_NODE_FORWARDER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "envelope.pb.h"
#include "peer_health.h"
#include "yuccastair/membership/fleet_view.h"
#include "yuccastair/routing/retry_policy.h"
#include "yuccastair/routing/router.h"
#include "yuccastair/support/clock.h"
#include "yuccastair/wire/pending_calls.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::node {

/// Chooses targets and makes the attempts of one call. Safe for use by several
/// threads.
class Forwarder {
 public:
  struct Options {
    std::string availability_zone;
    routing::Options routing;
    PeerHealth::Options health;
    /// How long the node of a target may take to confirm a cancellation.
    std::chrono::milliseconds cancel_wait{200};
  };

  Forwarder(membership::FleetView& fleet,
            wire::Transport& transport,
            wire::PendingCalls& pending,
            std::function<void()> wake_sync,
            Options options);
  ~Forwarder();

  using OptionsLookup =
      std::function<routing::Options(const std::string& service)>;

  /// Takes the routing options of every service from \p lookup from now on.
  void SetOptions(OptionsLookup lookup);
  void SetZonesOut(const std::set<std::string>& zones);

  /// Makes the call within its deadline and attempt budget. \p caller_gone may
  /// be empty.
  ///
  /// When the caller has gone or the deadline passes, the attempt under way is
  /// cancelled at the target's node. Its answer is awaited for
  /// Options::cancel_wait: only it can tell that nothing has run.
  wire::CallReply Forward(wire::CallRequest call,
                          support::TimePoint deadline,
                          const std::function<bool()>& caller_gone);

  /// To be called for everything received from a node, and on each tick of the
  /// transport.
  void OnAnswer(const std::string& address) { health_.OnAnswer(address); }
  void OnTick();

 private:
  struct Service;
  struct Attempted {
    wire::CallReply reply;
    routing::AttemptOutcome end = routing::AttemptOutcome::kFailed;
    bool gave_up = false;
  };

  Service& ServiceNamed(const std::string& name);
  std::vector<wire::Member> AwaitMembers(const std::string& service,
                                         support::TimePoint deadline);
  Attempted Attempt(const std::string& address,
                    const wire::CallRequest& call,
                    support::TimePoint deadline,
                    const std::function<bool()>& caller_gone);
  Attempted Await(const std::string& address,
                  std::uint64_t correlation,
                  support::TimePoint deadline,
                  const std::function<bool()>& caller_gone);
  Attempted Cancel(const std::string& address,
                   std::uint64_t correlation,
                   const wire::CallRequest& call,
                   const std::string& reason);

  const support::SteadyClock clock_{};
  const Options options_;
  membership::FleetView& fleet_;
  wire::Transport& transport_;
  wire::PendingCalls& pending_;
  std::function<void()> wake_sync_;
  PeerHealth health_;
  std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Service>> services_;
  // Empty until the first settings; Options::routing holds then.
  OptionsLookup options_of_;
  std::set<std::string> zones_out_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_FORWARDER_H_
