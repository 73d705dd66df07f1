// The table of requests that wait for an answer.

#include "yuccastair/wire/pending_calls.h"

#include <utility>

namespace yuccastair::wire {

std::uint64_t PendingCalls::Begin() {
  std::lock_guard lock(mutex_);
  const std::uint64_t correlation = next_++;
  entries_.emplace(correlation, std::make_shared<Entry>());
  return correlation;
}

Answer PendingCalls::Wait(std::uint64_t correlation,
                          std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  const auto found = entries_.find(correlation);
  if (found == entries_.end())
    return {};
  const std::shared_ptr<Entry> entry = found->second;
  entry->ready.wait_for(lock, timeout,
                        [&] { return entry->answer.has_value(); });
  entries_.erase(correlation);
  return entry->answer ? std::move(*entry->answer) : Answer{};
}

std::optional<Answer> PendingCalls::WaitFor(std::uint64_t correlation,
                                            std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  const auto found = entries_.find(correlation);
  if (found == entries_.end())
    return Answer{};
  const std::shared_ptr<Entry> entry = found->second;
  entry->ready.wait_for(lock, timeout,
                        [&] { return entry->answer.has_value(); });
  if (!entry->answer)
    return std::nullopt;
  entries_.erase(correlation);
  return std::move(entry->answer);
}

void PendingCalls::Forget(std::uint64_t correlation) {
  std::lock_guard lock(mutex_);
  entries_.erase(correlation);
}

bool PendingCalls::Complete(std::uint64_t correlation, Envelope envelope) {
  return Finish(correlation, {WaitResult::kAnswered, std::move(envelope)});
}

bool PendingCalls::CompleteUndelivered(std::uint64_t correlation) {
  return Finish(correlation, {WaitResult::kUndelivered, {}});
}

bool PendingCalls::Finish(std::uint64_t correlation, Answer answer) {
  std::lock_guard lock(mutex_);
  const auto found = entries_.find(correlation);
  if (found == entries_.end() || found->second->answer)
    return false;
  found->second->answer = std::move(answer);
  found->second->ready.notify_one();
  return true;
}

}  // namespace yuccastair::wire
