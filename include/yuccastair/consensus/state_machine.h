// What the replicated log drives, and what its users see of it.

#ifndef YUCCASTAIR_CONSENSUS_STATE_MACHINE_H_
#define YUCCASTAIR_CONSENSUS_STATE_MACHINE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "yuccastair/support/clock.h"

namespace yuccastair::consensus {

/// A deterministic state machine: equal commands in equal order give equal
/// state and equal results on every control process.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  /// Applies a committed command and returns its result. Must not read a clock
  /// or a random source, and must not throw for a malformed command.
  virtual std::string Apply(std::uint64_t index,
                            const std::string& command) = 0;

  virtual std::string TakeSnapshot() const = 0;

  /// Replaces the whole state by that of a snapshot.
  virtual void RestoreSnapshot(const std::string& snapshot) = 0;
};

enum class ProposeStatus {
  /// Committed and applied; the result is that of StateMachine::Apply.
  kCommitted,
  /// This process is not the leader; nothing was appended.
  kNotLeader,
  /// Leadership was lost after the command was appended: it may yet be
  /// committed or not.
  kUncertain,
};

struct ProposeOutcome {
  ProposeStatus status = ProposeStatus::kNotLeader;
  std::uint64_t index = 0;
  std::string result;
};

/// The log as the control process uses it. All calls are made, and all
/// callbacks run, on the core thread.
class ReplicatedLog {
 public:
  using Done = std::function<void(ProposeOutcome)>;

  virtual ~ReplicatedLog() = default;

  /// Appends a command; \p done is called exactly once.
  virtual void Propose(std::string command, Done done) = 0;

  /// Returns whether this process is the leader and holds its lease, so that
  /// no other process can have committed anything that is missing here.
  virtual bool IsCurrentLeader() const = 0;

  /// Peer address of the leader as far as known; empty if none is known.
  virtual std::string LeaderAddress() const = 0;

  /// Returns a time at which the applied state was certainly current: nothing
  /// that was committed before that time is missing.
  virtual support::TimePoint CurrentAsOf() const = 0;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_CONSENSUS_STATE_MACHINE_H_
