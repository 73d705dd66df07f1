// The requests that the own target is serving, by the token that it was given.

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

/// What the calls that a target makes inherit from the request it is serving.
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

/// The table from which a target's own calls take their context. A target that
/// names no running request, or an ended one, gets nothing.
class RunningCalls {
 public:
  /// Returns the token under which \p context can be found.
  std::string Add(CallContext context, std::uint32_t attempt_budget);

  /// Ends the request and returns the attempts that its calls did not use.
  std::uint32_t Remove(const std::string& token);

  std::optional<CallContext> Find(const std::string& token) const;

  /// What a call of the target may use.
  struct Grant {
    bool allowed = true;
    std::uint32_t attempts = 0;
    /// Why the call is not allowed.
    std::string reason;
  };

  /// Begins a call of the target. \p fingerprint recognises a call that the
  /// target makes again: that is charged one attempt, and it is refused where
  /// none is left or the service was overloaded the first time. A call that is
  /// allowed is lent half of the attempts that are left.
  Grant BeginChild(const std::string& token, std::uint64_t fingerprint);

  /// Ends a call of the target and puts back the attempts it did not use.
  void EndChild(const std::string& token,
                std::uint64_t fingerprint,
                const Grant& grant,
                const wire::CallReply& reply);

  /// Spends one attempt of the request; returns false if none is left.
  bool SpendAttempt(const std::string& token);

  std::size_t size() const;

 private:
  struct Entry {
    CallContext context;
    // Attempts left for everything below this request.
    routing::AttemptBudget budget;
    // Calls that the target has made, with whether the service was overloaded.
    std::unordered_map<std::uint64_t, bool> children;
  };

  mutable std::mutex mutex_;
  std::unordered_map<std::string, Entry> entries_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_RUNNING_CALLS_H_
