// Interfaces of the replicated log: the state machine that it drives, and the
// log as its users see it.

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

  /// Replaces the whole state with that of a snapshot.
  virtual void RestoreSnapshot(const std::string& snapshot) = 0;
};

enum class ProposeStatus {
  /// Committed and applied; the result is that of StateMachine::Apply.
  kCommitted,
  /// This process is not the leader; nothing was appended.
  kNotLeader,
  /// Leadership was lost after the command was appended. The command may or may
  /// not be committed later.
  kUncertain,
};

struct ProposeOutcome {
  ProposeStatus status = ProposeStatus::kNotLeader;
  std::uint64_t index = 0;
  std::string result;
};

/// The interface of the log to the control process. All calls are made, and all
/// callbacks run, on the core thread.
class ReplicatedLog {
 public:
  using ProposeCallback = std::function<void(ProposeOutcome)>;

  virtual ~ReplicatedLog() = default;

  /// Appends a command; \p done is called exactly once.
  virtual void Propose(std::string command, ProposeCallback done) = 0;

  /// Returns whether this process is the leader and holds its lease, so that
  /// no other process can have committed anything that is missing here.
  virtual bool IsCurrentLeader() const = 0;

  /// Returns the peer address of the leader; empty if none is known.
  virtual std::string LeaderAddress() const = 0;

  /// Returns a time as of which the applied state is known to be current: it
  /// includes everything that was committed before that time.
  virtual support::TimePoint CurrentAsOf() const = 0;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_CONSENSUS_STATE_MACHINE_H_
