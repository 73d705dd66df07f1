// Commands and snapshots of several tables in one log.

#include "yuccastair/state/table_dispatcher.h"

#include "yuccastair/support/error.h"

namespace yuccastair::state {

std::string EncodeCommand(wire::Table table, const std::string& payload) {
  wire::Command command;
  command.set_table(table);
  command.set_payload(payload);
  return command.SerializeAsString();
}

void TableDispatcher::Add(wire::Table table, consensus::StateMachine& machine) {
  machines_[table] = &machine;
}

std::string TableDispatcher::Apply(std::uint64_t index,
                                   const std::string& command) {
  wire::Command parsed;
  if (!parsed.ParseFromString(command))
    return "";
  const auto machine = machines_.find(parsed.table());
  if (machine == machines_.end())
    return "";
  return machine->second->Apply(index, parsed.payload());
}

std::string TableDispatcher::TakeSnapshot() const {
  wire::TableSnapshots snapshots;
  for (const auto& [table, machine] : machines_) {
    wire::TableSnapshot* snapshot = snapshots.add_tables();
    snapshot->set_table(table);
    snapshot->set_state(machine->TakeSnapshot());
  }
  return snapshots.SerializeAsString();
}

void TableDispatcher::RestoreSnapshot(const std::string& snapshot) {
  wire::TableSnapshots parsed;
  if (!parsed.ParseFromString(snapshot))
    throw support::Error("restore snapshot", "",
                         "the snapshot of the tables cannot be decoded");
  for (const wire::TableSnapshot& table : parsed.tables()) {
    const auto machine = machines_.find(table.table());
    if (machine == machines_.end())
      throw support::Error(
          "restore snapshot", "",
          "the snapshot holds unknown table " + std::to_string(table.table()));
    machine->second->RestoreSnapshot(table.state());
  }
}

}  // namespace yuccastair::state
