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

/// The log with its storage, its state machine and its messages.
///
/// Register the tables, then call Start(); before that there is no leader.
/// Everything after the constructor is
/// called on the core thread.
class LogRunner final : public consensus::ReplicatedLog {
 public:
  using Send = std::function<void(const std::string&, wire::Envelope)>;
  using Answer = std::function<void(wire::Envelope)>;

  /// Opens and locks the data directory. Throws Error if that fails, or if the
  /// peers do not contain this process.
  LogRunner(const Settings& settings, const support::Clock& clock, Send send);

  void Register(wire::Table table, consensus::StateMachine& machine);
  void Start();

  /// Takes a message that belongs to the log and returns whether it did. An
  /// answer, if there is one, is given to \p answer, possibly later.
  bool Handle(const wire::Envelope& envelope, const Answer& answer);
  /// To be called after each batch of messages, at least every few ms.
  void Flush();

  void Propose(std::string command, ProposeCallback done) override;
  bool IsCurrentLeader() const override;
  std::string LeaderAddress() const override;
  support::TimePoint CurrentAsOf() const override;

  /// Fills in the leader's address and the age of the confirmed state.
  void FillReply(wire::SyncReply& reply) const;
  /// Adds an address at which a member of the log may be found.
  void AddPeerAddress(const std::string& address);
  /// Addresses of the processes that hold the log, or of those that are known
  /// while there is no cluster.
  std::vector<std::string> ControlAddresses() const;
  std::uint32_t AgeMs() const;

 private:
  void HandleProbe(const wire::Envelope& envelope, const Answer& answer);
  wire::Envelope ProbeReply(std::uint64_t correlation,
                            wire::LogProbeReply::Status status,
                            std::uint64_t index) const;

  const Settings& settings_;
  const support::Clock& clock_;
  const Send send_;
  consensus::PosixFileSystem files_;
  consensus::DiskStorage storage_;
  ProbeTable probes_;
  state::TableDispatcher machine_;
  // Set by Start().
  std::optional<consensus::Core> core_;
};

/// Runs \p work and ends the process with exit code 1 if it throws. A process
/// whose log has failed must not answer anything any more, and a regular exit
/// would wait for threads that still do.
void RunOrExit(const std::function<void()>& work);

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_LOG_RUNNER_H_
