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

  /// Takes up to \p wanted attempts out of the budget of the request.
  std::uint32_t TakeAttempts(const std::string& token, std::uint32_t wanted);

  /// Gives back attempts that a call of the target did not use.
  void ReturnAttempts(const std::string& token, std::uint32_t count);

  std::size_t size() const;

 private:
  struct Entry {
    CallContext context;
    // Attempts left for everything below this request. Never grows beyond what
    // the request arrived with.
    std::uint32_t budget = 0;
  };

  mutable std::mutex mutex_;
  std::unordered_map<std::string, Entry> entries_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_RUNNING_CALLS_H_
