// One log, several tables: dispatch and common snapshot.

#include "yuccastair/control/composite_state_machine.h"

#include <utility>

#include "consensus.pb.h"
#include "yuccastair/support/error.h"
#include "yuccastair/support/log.h"

namespace yuccastair::control {

void CompositeStateMachine::Register(wire::Table table,
                                     consensus::StateMachine& machine) {
  machines_[table] = &machine;
}

std::string CompositeStateMachine::Apply(std::uint64_t index,
                                         const std::string& command) {
  wire::Command parsed;
  const auto found = parsed.ParseFromString(command)
                         ? machines_.find(parsed.table())
                         : machines_.end();
  if (found == machines_.end()) {
    support::LogWarning("log.command_ignored",
                        {{"index", index}, {"table", parsed.table()}});
    return "";
  }
  return found->second->Apply(index, parsed.payload());
}

std::string CompositeStateMachine::TakeSnapshot() const {
  wire::CompositeSnapshot snapshot;
  for (const auto& [table, machine] : machines_) {
    wire::TableSnapshot* part = snapshot.add_tables();
    part->set_table(static_cast<std::uint32_t>(table));
    part->set_data(machine->TakeSnapshot());
  }
  return snapshot.SerializeAsString();
}

void CompositeStateMachine::RestoreSnapshot(const std::string& snapshot) {
  wire::CompositeSnapshot parsed;
  if (!parsed.ParseFromString(snapshot))
    throw support::Error("restore snapshot", "", "the snapshot is malformed");
  for (const wire::TableSnapshot& part : parsed.tables()) {
    const auto found = machines_.find(static_cast<int>(part.table()));
    if (found == machines_.end())
      throw support::Error("restore snapshot", "",
                           "table " + std::to_string(part.table()) +
                               " is not known to this version");
    found->second->RestoreSnapshot(part.data());
  }
}

std::string EncodeCommand(wire::Table table, std::string payload) {
  wire::Command command;
  command.set_table(table);
  command.set_payload(std::move(payload));
  return command.SerializeAsString();
}

}  // namespace yuccastair::control
