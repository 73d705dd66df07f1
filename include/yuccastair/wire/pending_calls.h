// Matches answers to requests by correlation number.

#ifndef YUCCASTAIR_WIRE_PENDING_CALLS_H_
#define YUCCASTAIR_WIRE_PENDING_CALLS_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "envelope.pb.h"

namespace yuccastair::wire {

/// How a wait for an answer ended.
enum class WaitResult { kAnswered, kUndelivered, kTimedOut };

struct Answer {
  WaitResult result = WaitResult::kTimedOut;
  Envelope envelope;
};

/// The requests of this process that wait for an answer.
///
/// An answer to a request that is no longer waited for, or a second answer to
/// the same request, is dropped.
class PendingCalls {
 public:
  /// Returns the correlation number of a new request.
  std::uint64_t Begin();

  /// Waits for the answer to \p correlation and forgets the request.
  Answer Wait(std::uint64_t correlation, std::chrono::milliseconds timeout);

  /// Waits like Wait(), but the request stays known when the time is over, so
  /// that the wait can be continued.
  std::optional<Answer> WaitFor(std::uint64_t correlation,
                                std::chrono::milliseconds timeout);

  /// Drops a request; a later answer to it is dropped too.
  void Forget(std::uint64_t correlation);

  /// Hands an answer to its waiting request; returns false if there is none.
  bool Complete(std::uint64_t correlation, Envelope envelope);

  /// Ends a wait for a request that certainly was not delivered.
  bool CompleteUndelivered(std::uint64_t correlation);

 private:
  struct Entry {
    std::condition_variable ready;
    std::optional<Answer> answer;
  };

  bool Finish(std::uint64_t correlation, Answer answer);

  std::mutex mutex_;
  std::uint64_t next_ = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<Entry>> entries_;
};

}  // namespace yuccastair::wire

#endif  // YUCCASTAIR_WIRE_PENDING_CALLS_H_
