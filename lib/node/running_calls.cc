// The table of requests that the local target is serving.

#include "running_calls.h"

#include <utility>

#include "yuccastair/support/id.h"

namespace yuccastair::node {
namespace {

constexpr std::size_t kMaxTrackedChildCalls = 256;

}  // namespace

std::string RunningCalls::Add(CallContext context,
                              std::uint32_t attempt_budget) {
  std::string token = support::RandomId();
  std::lock_guard lock(mutex_);
  calls_.emplace(token, RunningCall{std::move(context),
                                    routing::AttemptBudget(attempt_budget),
                                    {}});
  return token;
}

std::uint32_t RunningCalls::Remove(const std::string& token) {
  std::lock_guard lock(mutex_);
  const auto found = calls_.find(token);
  if (found == calls_.end())
    return 0;
  const std::uint32_t remaining = found->second.budget.remaining();
  calls_.erase(found);
  return remaining;
}

std::optional<CallContext> RunningCalls::Find(const std::string& token) const {
  std::lock_guard lock(mutex_);
  const auto found = calls_.find(token);
  if (found == calls_.end())
    return std::nullopt;
  return found->second.context;
}

RunningCalls::ChildCallGrant RunningCalls::BeginChildCall(
    const std::string& token,
    std::uint64_t fingerprint) {
  std::lock_guard lock(mutex_);
  const auto found = calls_.find(token);
  if (found == calls_.end())
    return {false, 0, "the request has ended"};
  RunningCall& call = found->second;
  const auto previous = call.child_calls.find(fingerprint);
  // Calls beyond the bound are not tracked, so each is charged like a resend.
  const bool is_resend = previous != call.child_calls.end() ||
                         call.child_calls.size() >= kMaxTrackedChildCalls;
  if (previous != call.child_calls.end() && previous->second)
    return {false, 0, "the service was overloaded for the same call before"};
  if (is_resend && !call.budget.Spend())
    return {false, 0, "the attempt budget of the request is spent"};
  if (!is_resend)
    call.child_calls.emplace(fingerprint, false);
  return {true, call.budget.Delegate(), ""};
}

void RunningCalls::EndChildCall(const std::string& token,
                                std::uint64_t fingerprint,
                                const ChildCallGrant& grant,
                                const wire::CallReply& reply) {
  std::lock_guard lock(mutex_);
  const auto found = calls_.find(token);
  if (found == calls_.end())
    return;
  found->second.budget.ReturnUnused(grant.attempts, reply.unused_attempts());
  const auto child = found->second.child_calls.find(fingerprint);
  if (child != found->second.child_calls.end())
    child->second = reply.service_overloaded();
}

bool RunningCalls::SpendAttempt(const std::string& token) {
  std::lock_guard lock(mutex_);
  const auto found = calls_.find(token);
  return found != calls_.end() && found->second.budget.Spend();
}

std::size_t RunningCalls::size() const {
  std::lock_guard lock(mutex_);
  return calls_.size();
}

}  // namespace yuccastair::node
