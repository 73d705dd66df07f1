// The table of requests that the own target is serving.

#include "running_calls.h"

#include <utility>

#include "yuccastair/support/id.h"

namespace yuccastair::node {
namespace {

constexpr std::size_t kMaxTrackedChildren = 256;

}  // namespace

std::string RunningCalls::Add(CallContext context,
                              std::uint32_t attempt_budget) {
  std::string token = support::RandomId();
  std::lock_guard lock(mutex_);
  entries_.emplace(
      token,
      Entry{std::move(context), routing::AttemptBudget(attempt_budget), {}});
  return token;
}

std::uint32_t RunningCalls::Remove(const std::string& token) {
  std::lock_guard lock(mutex_);
  const auto found = entries_.find(token);
  if (found == entries_.end())
    return 0;
  const std::uint32_t left = found->second.budget.remaining();
  entries_.erase(found);
  return left;
}

std::optional<CallContext> RunningCalls::Find(const std::string& token) const {
  std::lock_guard lock(mutex_);
  const auto found = entries_.find(token);
  if (found == entries_.end())
    return std::nullopt;
  return found->second.context;
}

RunningCalls::Grant RunningCalls::BeginChild(const std::string& token,
                                             std::uint64_t fingerprint) {
  std::lock_guard lock(mutex_);
  const auto found = entries_.find(token);
  if (found == entries_.end())
    return {false, 0, "the request has ended"};
  Entry& entry = found->second;
  const auto earlier = entry.children.find(fingerprint);
  // A request with very many calls is not tracked further; what goes beyond is
  // charged like a resend.
  const bool again = earlier != entry.children.end() ||
                     entry.children.size() >= kMaxTrackedChildren;
  if (earlier != entry.children.end() && earlier->second)
    return {false, 0, "the service was overloaded for the same call before"};
  if (again && !entry.budget.Spend())
    return {false, 0, "the attempt budget of the request is spent"};
  if (!again)
    entry.children.emplace(fingerprint, false);
  return {true, entry.budget.Delegate(), ""};
}

void RunningCalls::EndChild(const std::string& token,
                            std::uint64_t fingerprint,
                            const Grant& grant,
                            const wire::CallReply& reply) {
  std::lock_guard lock(mutex_);
  const auto found = entries_.find(token);
  if (found == entries_.end())
    return;
  found->second.budget.ReturnUnused(grant.attempts, reply.unused_attempts());
  const auto child = found->second.children.find(fingerprint);
  if (child != found->second.children.end())
    child->second = reply.service_overloaded();
}

bool RunningCalls::SpendAttempt(const std::string& token) {
  std::lock_guard lock(mutex_);
  const auto found = entries_.find(token);
  return found != entries_.end() && found->second.budget.Spend();
}

std::size_t RunningCalls::size() const {
  std::lock_guard lock(mutex_);
  return entries_.size();
}

}  // namespace yuccastair::node
