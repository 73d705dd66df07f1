// The table of requests that the own target is serving.

#include "running_calls.h"

#include <algorithm>
#include <utility>

#include "yuccastair/support/id.h"

namespace yuccastair::node {

std::string RunningCalls::Add(CallContext context,
                              std::uint32_t attempt_budget) {
  std::string token = support::RandomId();
  std::lock_guard lock(mutex_);
  entries_.emplace(token, Entry{std::move(context), attempt_budget});
  return token;
}

std::uint32_t RunningCalls::Remove(const std::string& token) {
  std::lock_guard lock(mutex_);
  const auto found = entries_.find(token);
  if (found == entries_.end())
    return 0;
  const std::uint32_t left = found->second.budget;
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

std::uint32_t RunningCalls::TakeAttempts(const std::string& token,
                                         std::uint32_t wanted) {
  std::lock_guard lock(mutex_);
  const auto found = entries_.find(token);
  if (found == entries_.end())
    return 0;
  const std::uint32_t taken = std::min(wanted, found->second.budget);
  found->second.budget -= taken;
  return taken;
}

void RunningCalls::ReturnAttempts(const std::string& token,
                                  std::uint32_t count) {
  std::lock_guard lock(mutex_);
  const auto found = entries_.find(token);
  if (found != entries_.end())
    found->second.budget += count;
}

std::size_t RunningCalls::size() const {
  std::lock_guard lock(mutex_);
  return entries_.size();
}

}  // namespace yuccastair::node
