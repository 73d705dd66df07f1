// Dispatches the commands of the replicated log to the tables of the state.

#ifndef YUCCASTAIR_CONTROL_COMPOSITE_STATE_MACHINE_H_
#define YUCCASTAIR_CONTROL_COMPOSITE_STATE_MACHINE_H_

#include <cstdint>
#include <map>
#include <string>

#include "state.pb.h"
#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::control {

/// The state machine that consists of one state machine for each table.
class CompositeStateMachine final : public consensus::StateMachine {
 public:
  /// Adds a table before the log is started. All control processes must have
  /// the same tables. \p machine must outlive this object.
  void Register(wire::Table table, consensus::StateMachine& machine);

  /// Applies an encoded wire::Command. A command for a table that is not
  /// registered changes nothing and has an empty result.
  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;
  /// Throws Error if the snapshot has a table that is not registered. A table
  /// that the snapshot lacks was added by this version and stays empty.
  void RestoreSnapshot(const std::string& snapshot) override;

 private:
  std::map<int, consensus::StateMachine*> machines_;
};

/// Returns the command for a table as the log carries it.
std::string EncodeCommand(wire::Table table, std::string payload);

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_CONTROL_COMPOSITE_STATE_MACHINE_H_
