// Runs the replicated log of a control process on its core thread.

#ifndef YUCCASTAIR_LIB_CONTROL_LOG_RUNNER_H_
#define YUCCASTAIR_LIB_CONTROL_LOG_RUNNER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "envelope.pb.h"
#include "probe_table.h"
#include "yuccastair/consensus/core.h"
#include "yuccastair/consensus/disk_storage.h"
#include "yuccastair/control/settings.h"
#include "yuccastair/state/table_dispatcher.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Connects the log with its storage, its state machine and the transport.
///
/// Register the tables, then call Start(); before that there is no leader. All
/// functions but the constructor are called on the core thread.
class LogRunner final : public consensus::ReplicatedLog {
 public:
  using SendCallback = std::function<void(const std::string&, wire::Envelope)>;
  using ReplyCallback = std::function<void(wire::Envelope)>;

  /// Opens and locks the data directory. Throws Error if that fails, or if the
  /// peers do not contain this process.
  LogRunner(const Settings& settings,
            const support::Clock& clock,
            SendCallback send);

  /// Adds the state machine that applies the commands of \p table.
  void Register(wire::Table table, consensus::StateMachine& machine);
  /// Starts the log. Called once, after the tables are registered.
  void Start();

  /// Handles a message that belongs to the log and returns whether it did. A
  /// reply, if there is one, is passed to \p send_reply, possibly later.
  bool Handle(const wire::Envelope& envelope, const ReplyCallback& send_reply);
  /// Advances the timers of the log and flushes it. To be called after each
  /// batch of messages, at least every few ms.
  void Flush();

  void Propose(std::string command, ProposeCallback done) override;
  bool IsCurrentLeader() const override;
  std::string LeaderAddress() const override;
  support::TimePoint CurrentAsOf() const override;

  /// Sets the leader's address and the age of the confirmed state.
  void FillReply(wire::SyncReply& reply) const;
  /// Adds an address at which a member of the cluster may be reached.
  void AddPeerAddress(const std::string& address);
  /// Returns the addresses of the members of the cluster, or the known
  /// addresses of control processes while there is no cluster.
  std::vector<std::string> ControlAddresses() const;
  /// Returns the age of the confirmed state in ms.
  std::uint32_t AgeMs() const;

 private:
  void HandleProbe(const wire::Envelope& envelope,
                   const ReplyCallback& send_reply);
  wire::Envelope MakeProbeReply(std::uint64_t correlation,
                                wire::LogProbeReply::Status status,
                                std::uint64_t index) const;

  const Settings& settings_;
  const support::Clock& clock_;
  const SendCallback send_;
  consensus::PosixFileSystem files_;
  consensus::DiskStorage storage_;
  ProbeTable probe_table_;
  state::TableDispatcher dispatcher_;
  // Set by Start().
  std::optional<consensus::Core> core_;
};

/// Runs \p work and ends the process with exit code 1 if it throws. A process
/// whose log has failed must not reply to any message, and a regular exit would
/// wait for threads that still do.
void RunOrExit(const std::function<void()>& work);

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_LOG_RUNNER_H_
