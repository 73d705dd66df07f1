// Dispatch by table. Guards against commands that reach the wrong table and
// against tables that a snapshot forgets.

#include "yuccastair/state/table_dispatcher.h"

#include <catch2/catch.hpp>

#include "yuccastair/support/error.h"

namespace yuccastair::state {
namespace {

class Appending final : public consensus::StateMachine {
 public:
  std::string Apply(std::uint64_t, const std::string& command) override {
    return text += command;
  }
  std::string TakeSnapshot() const override { return text; }
  void RestoreSnapshot(const std::string& snapshot) override {
    text = snapshot;
  }
  std::string text;
};

TEST_CASE("commands reach their table and snapshots hold all tables") {
  Appending settings;
  Appending claims;
  TableDispatcher machine;
  machine.Add(wire::TABLE_SETTINGS, settings);
  machine.Add(wire::TABLE_CLAIMS, claims);
  CHECK(machine.Apply(1, EncodeCommand(wire::TABLE_SETTINGS, "a")) == "a");
  CHECK(machine.Apply(2, EncodeCommand(wire::TABLE_CLAIMS, "b")) == "b");
  CHECK(machine.Apply(3, EncodeCommand(wire::TABLE_SETTINGS, "c")) == "ac");

  const std::string snapshot = machine.TakeSnapshot();
  machine.Apply(4, EncodeCommand(wire::TABLE_CLAIMS, "d"));
  machine.RestoreSnapshot(snapshot);
  CHECK(settings.text == "ac");
  CHECK(claims.text == "b");
}

TEST_CASE("a malformed command or one for an unknown table changes nothing") {
  Appending settings;
  TableDispatcher machine;
  machine.Add(wire::TABLE_SETTINGS, settings);
  CHECK(machine.Apply(1, "\xff\xff not a command").empty());
  CHECK(machine.Apply(2, EncodeCommand(wire::TABLE_CLAIMS, "b")).empty());
  CHECK(settings.text.empty());
}

TEST_CASE("a snapshot with an unknown table is rejected") {
  Appending claims;
  TableDispatcher writer;
  writer.Add(wire::TABLE_CLAIMS, claims);
  TableDispatcher reader;
  CHECK_THROWS_AS(reader.RestoreSnapshot(writer.TakeSnapshot()),
                  support::Error);
}

}  // namespace
}  // namespace yuccastair::state
