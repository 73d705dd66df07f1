// Hands each command of the replicated log to the table that it is for.

#ifndef YUCCASTAIR_STATE_TABLE_DISPATCHER_H_
#define YUCCASTAIR_STATE_TABLE_DISPATCHER_H_

#include <map>
#include <string>

#include "state.pb.h"
#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::state {

/// Returns the log command with a payload for a table.
std::string EncodeCommand(wire::Table table, const std::string& payload);

/// The state machine of the log, made of one state machine for each table. A
/// command that cannot be decoded, or is for a table that is not there, changes
/// nothing and has an empty result.
class TableDispatcher final : public consensus::StateMachine {
 public:
  /// \p machine must outlive the dispatcher.
  void Add(wire::Table table, consensus::StateMachine& machine);

  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;

  /// Throws Error with step "restore snapshot" if the snapshot is damaged or
  /// holds a table that is not there.
  void RestoreSnapshot(const std::string& snapshot) override;

 private:
  std::map<wire::Table, consensus::StateMachine*> machines_;
};

}  // namespace yuccastair::state

#endif  // YUCCASTAIR_STATE_TABLE_DISPATCHER_H_
