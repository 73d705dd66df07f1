// The requests that the local target is serving, by the token it was given.

#ifndef YUCCASTAIR_LIB_NODE_RUNNING_CALLS_H_
#define YUCCASTAIR_LIB_NODE_RUNNING_CALLS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "envelope.pb.h"
#include "yuccastair/routing/retry_policy.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// The context that the calls of a target inherit from the request it is
/// serving.
struct CallContext {
  std::string request_id;
  std::string trace_id;
  std::string span_id;
  bool trace_sampled = false;
  std::string organisation;
  wire::Importance importance = wire::IMPORTANCE_NORMAL;
  support::TimePoint deadline;
  std::uint32_t depth = 0;
};

/// The table from which the calls of a target take their context. A token of an
/// unknown or ended request yields no context.
class RunningCalls {
 public:
  /// Returns the token under which \p context can be found.
  std::string Add(CallContext context, std::uint32_t attempt_budget);

  /// Ends the request and returns the attempts that its calls did not use.
  std::uint32_t Remove(const std::string& token);

  std::optional<CallContext> Find(const std::string& token) const;

  /// The decision on a call of the target, and the attempts delegated to it.
  struct ChildCallGrant {
    bool allowed = true;
    std::uint32_t attempts = 0;
    /// The reason if the call is not allowed.
    std::string reason;
  };

  /// Begins a call of the target. \p fingerprint identifies a call that the
  /// target resends. A resend is charged one attempt; it is rejected if no
  /// attempt is left or if the service was overloaded for the previous call.
  /// Half of the remaining attempts are delegated to a call that is allowed.
  ChildCallGrant BeginChildCall(const std::string& token,
                                std::uint64_t fingerprint);

  /// Ends a call of the target and returns its unused attempts to the budget.
  void EndChildCall(const std::string& token,
                    std::uint64_t fingerprint,
                    const ChildCallGrant& grant,
                    const wire::CallReply& reply);

  /// Spends one attempt of the request; returns false if none is left.
  bool SpendAttempt(const std::string& token);

  std::size_t size() const;

 private:
  struct RunningCall {
    CallContext context;
    // Attempts left for all downstream calls of this request.
    routing::AttemptBudget budget;
    // Fingerprints of the calls that the target has made; true if the service
    // was overloaded.
    std::unordered_map<std::uint64_t, bool> child_calls;
  };

  mutable std::mutex mutex_;
  std::unordered_map<std::string, RunningCall> calls_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_RUNNING_CALLS_H_
