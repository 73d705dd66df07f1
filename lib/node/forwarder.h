// Makes the attempts of a call: selects targets, awaits replies, cancels and
// retries.

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
#include "yuccastair/membership/membership_view.h"
#include "yuccastair/routing/retry_policy.h"
#include "yuccastair/routing/router.h"
#include "yuccastair/support/clock.h"
#include "yuccastair/wire/pending_calls.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::node {

/// Selects targets for calls and makes their attempts. Safe for use by several
/// threads.
class Forwarder {
 public:
  struct Options {
    std::string availability_zone;
    routing::Options routing;
    PeerHealth::Options health;
    /// Time within which the node of a target must confirm a cancellation.
    std::chrono::milliseconds cancel_timeout{200};
  };

  Forwarder(membership::MembershipView& fleet,
            wire::Transport& transport,
            wire::PendingCalls& pending,
            std::function<void()> wake_sync,
            Options options);
  ~Forwarder();

  using OptionsLookup =
      std::function<routing::Options(const std::string& service)>;

  /// Uses \p lookup for the routing options of every service from now on.
  void SetOptions(OptionsLookup lookup);
  void SetZonesOut(const std::set<std::string>& zones);

  /// Makes the call within its deadline and attempt budget. \p caller_gone may
  /// be empty.
  ///
  /// When the caller disconnects or the deadline passes, the current attempt is
  /// cancelled at the target's node. The reply to that is awaited for
  /// Options::cancel_timeout, because only the node can confirm that the call
  /// has not run.
  wire::CallReply Forward(wire::CallRequest call,
                          support::TimePoint deadline,
                          const std::function<bool()>& caller_disconnected);

  /// To be called for every message received from a node.
  void OnReceive(const std::string& address) { health_.OnReceive(address); }
  /// To be called on each tick of the transport.
  void OnTick();

 private:
  struct ServiceState;
  struct AttemptResult {
    wire::CallReply reply;
    routing::AttemptOutcome end = routing::AttemptOutcome::kFailed;
    bool gave_up = false;
  };

  ServiceState& FindOrAddService(const std::string& name);
  std::vector<wire::Member> AwaitMembers(const std::string& service,
                                         support::TimePoint deadline);
  AttemptResult MakeAttempt(const std::string& address,
                            const wire::CallRequest& call,
                            support::TimePoint deadline,
                            const std::function<bool()>& caller_disconnected);
  AttemptResult AwaitReply(const std::string& address,
                           std::uint64_t correlation,
                           support::TimePoint deadline,
                           const std::function<bool()>& caller_disconnected);
  AttemptResult CancelAttempt(const std::string& address,
                              std::uint64_t correlation,
                              const wire::CallRequest& call,
                              const std::string& reason);

  const support::SteadyClock clock_{};
  const Options options_;
  membership::MembershipView& fleet_;
  wire::Transport& transport_;
  wire::PendingCalls& pending_;
  std::function<void()> wake_sync_;
  PeerHealth health_;
  std::mutex mutex_;
  std::map<std::string, std::unique_ptr<ServiceState>> services_;
  // Empty until the first settings arrive; Options::routing applies until then.
  OptionsLookup options_lookup_;
  std::set<std::string> zones_out_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_FORWARDER_H_
