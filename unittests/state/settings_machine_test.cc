// The settings state machine: versions, operation ids, history and updates.

#include "yuccastair/state/settings_machine.h"

#include <catch2/catch.hpp>

#include "settings_changes.h"
#include "yuccastair/state/table_dispatcher.h"
#include "yuccastair/support/error.h"

namespace yuccastair::state {
namespace {

// Guards against the loss of one operator's change by another's.
TEST_CASE("of two changes on the same version one wins") {
  SettingsMachine machine;
  const auto first =
      Apply(machine, MakeChange("a", 0, {SetFleet(kAttempts, 3)}));
  const auto second =
      Apply(machine, MakeChange("b", 0, {SetFleet(kAttempts, 9)}));
  CHECK(first.outcome() == wire::CHANGE_OUTCOME_COMMITTED);
  CHECK(first.version() == 1);
  REQUIRE(second.outcome() == wire::CHANGE_OUTCOME_CONFLICT);
  CHECK(second.version() == 1);
  REQUIRE(second.changed_since_size() == 1);
  CHECK(second.changed_since(0).operation_id() == "a");
  CHECK(second.changed_since(0).changes(0).after().setting().value() == 3);
  CHECK(machine.tree().Effective(*FindSettingKey(kAttempts), {}).value == 3);
}

TEST_CASE("a base version that does not exist yet is a conflict") {
  SettingsMachine machine;
  const auto result =
      Apply(machine, MakeChange("a", 7, {SetFleet(kAttempts, 3)}));
  CHECK(result.outcome() == wire::CHANGE_OUTCOME_CONFLICT);
  CHECK(machine.version() == 0);
}

// Guards against a second effect, or a false conflict, of a resend whose first
// response was lost.
TEST_CASE("a repeated operation gets the first result") {
  SettingsMachine machine;
  const std::string change =
      MakeChange("a", 0, {SetFleet(kAttempts, 3)}).SerializeAsString();
  const std::string first = machine.Apply(1, change);
  ApplyNext(machine, {SetFleet(kAttempts, 4)});
  CHECK(machine.Apply(3, change) == first);
  CHECK(machine.version() == 2);
  SECTION("also when the resend was stamped with another time") {
    auto resend = MakeChange("a", 0, {SetFleet(kAttempts, 3)});
    resend.set_at_ms(99);
    CHECK(machine.Apply(4, resend.SerializeAsString()) == first);
  }
  SECTION("also after a restart from a snapshot") {
    SettingsMachine restored;
    restored.RestoreSnapshot(machine.TakeSnapshot());
    CHECK(restored.Apply(5, change) == first);
  }
  SECTION("but not for another change under its id") {
    const auto other =
        Apply(machine, MakeChange("a", 2, {SetFleet(kAttempts, 5)}));
    CHECK(other.outcome() == wire::CHANGE_OUTCOME_INVALID);
    CHECK(machine.version() == 2);
  }
}

TEST_CASE("an operation that is no longer remembered is not applied again") {
  SettingsMachine::Limits limits;
  limits.operations = 2;
  SettingsMachine machine(limits);
  const auto change = MakeChange("a", 0, {SetFleet(kAttempts, 3)});
  Apply(machine, change);
  for (int i = 0; i < 3; ++i)
    ApplyNext(machine, {SetFleet(kAttempts, 10 + i)});
  CHECK(Apply(machine, change).outcome() == wire::CHANGE_OUTCOME_CONFLICT);
  CHECK(machine.version() == 4);
}

TEST_CASE("an invalid change lists all faults and changes nothing") {
  SettingsMachine machine;
  const auto result =
      Apply(machine,
            MakeChange("a", 0,
                       {SetFleet(kAttempts, 0), PutRoute("r", "s", "get", "x"),
                        PutOrganisation("a.b", 1, 1)}));
  CHECK(result.outcome() == wire::CHANGE_OUTCOME_INVALID);
  CHECK(result.faults_size() == 4);
  const auto between = ApplyNext(
      machine, {PutRoute("a", "s", "", "/x"), PutRoute("b", "s", "", "/x")});
  CHECK(between.outcome() == wire::CHANGE_OUTCOME_INVALID);
  CHECK(machine.version() == 0);
  CHECK(machine.tree().entries().empty());
}

TEST_CASE("a change without effect makes no version") {
  SettingsMachine machine;
  ApplyNext(machine, {SetFleet(kAttempts, 3)});
  const auto result =
      Apply(machine, MakeChange("b", 1, {SetFleet(kAttempts, 3)}));
  CHECK(result.outcome() == wire::CHANGE_OUTCOME_COMMITTED);
  CHECK(result.version() == 1);
}

TEST_CASE("a rollback is a new change that restores an earlier version") {
  SettingsMachine machine;
  ApplyNext(machine, {SetFleet(kAttempts, 3), PutRoute("r", "s", "", "/r"),
                      Set(wire::SETTINGS_LEVEL_ROUTE, "r", kOpen, 1)});
  const auto wanted = machine.EncodeUpdate(0);
  ApplyNext(machine, {SetFleet(kAttempts, 4), SetFleet(kDeadlineMs, 10)});
  ApplyNext(machine, {Remove(PutRoute("r", "", "", ""))});
  CHECK(machine.tree().Find("route/r/open") == nullptr);
  wire::SettingsChange rollback = MakeChange("back", 3, {});
  rollback.set_rollback_to(1);
  CHECK(Apply(machine, rollback).version() == 4);
  wire::SettingsUpdate before;
  wire::SettingsUpdate after;
  before.ParseFromString(wanted);
  after.ParseFromString(machine.EncodeUpdate(0));
  after.set_version(1);
  CHECK(after.SerializeAsString() == before.SerializeAsString());
  CHECK(machine.history().back().version() == 4);
}

TEST_CASE("a rollback beyond the kept history is refused") {
  SettingsMachine::Limits limits;
  limits.history = 2;
  SettingsMachine machine(limits);
  for (int i = 1; i <= 4; ++i)
    ApplyNext(machine, {SetFleet(kAttempts, i)});
  CHECK(machine.history().size() == 2);
  const auto back_to = [&](std::uint64_t version) {
    wire::SettingsChange change =
        MakeChange("to-" + std::to_string(version), 4, {});
    change.set_rollback_to(version);
    return Apply(machine, change).outcome();
  };
  CHECK(back_to(1) == wire::CHANGE_OUTCOME_INVALID);
  CHECK(back_to(9) == wire::CHANGE_OUTCOME_INVALID);
  CHECK(back_to(2) == wire::CHANGE_OUTCOME_COMMITTED);
}

TEST_CASE("a diff names each entry once and can be read backwards") {
  SettingsMachine machine;
  ApplyNext(machine, {SetFleet(kAttempts, 3)});
  ApplyNext(machine, {SetFleet(kAttempts, 4)});
  ApplyNext(machine, {SetFleet(kAttempts, 5), SetFleet(kOpen, 1)});
  ApplyNext(machine, {Remove(SetFleet(kOpen, 1))});
  const auto forwards = machine.Diff(1, 4);
  REQUIRE(forwards);
  REQUIRE(forwards->size() == 1);
  CHECK(forwards->front().before().setting().value() == 3);
  CHECK(forwards->front().after().setting().value() == 5);
  const auto backwards = machine.Diff(4, 0);
  REQUIRE(backwards);
  CHECK_FALSE(backwards->front().has_after());
}

// Guards against control processes that drift apart.
TEST_CASE("equal commands give equal state and equal results") {
  SettingsMachine one;
  SettingsMachine two;
  std::vector<std::string> commands = {"", "damaged", std::string(300, '\xff')};
  for (int i = 0; i < 20; ++i)
    commands.push_back(
        MakeChange("op" + std::to_string(i % 15), i / 2,
                   {SetFleet(kAttempts, i),
                    PutOrganisation("o" + std::to_string(i % 3), i, 5)})
            .SerializeAsString());
  for (const std::string& command : commands)
    CHECK(one.Apply(1, command) == two.Apply(1, command));
  CHECK(one.TakeSnapshot() == two.TakeSnapshot());
  SettingsMachine restored;
  restored.RestoreSnapshot(one.TakeSnapshot());
  CHECK(restored.TakeSnapshot() == one.TakeSnapshot());
  CHECK_THROWS_AS(restored.RestoreSnapshot("\xff\xff"), support::Error);
  CHECK(restored.version() == one.version());
}

TEST_CASE("a node gets nothing, a delta or the whole settings") {
  SettingsMachine machine;
  std::vector<wire::SettingsEdit> edits;
  edits.reserve(20);
  for (int i = 0; i < 20; ++i)
    edits.push_back(PutOrganisation("o" + std::to_string(i), 1, 1));
  ApplyNext(machine, edits);
  ApplyNext(machine, {SetFleet(kAttempts, 4)});
  ApplyNext(machine, {SetFleet(kAttempts, 5)});
  CHECK(machine.EncodeUpdate(3).empty());
  CHECK(machine.EncodeUpdate(4).empty());
  wire::SettingsUpdate delta;
  REQUIRE(delta.ParseFromString(machine.EncodeUpdate(1)));
  CHECK(delta.from_version() == 1);
  CHECK(delta.version() == 3);
  REQUIRE(delta.edits_size() == 1);
  CHECK(delta.edits(0).entry().setting().value() == 5);
  wire::SettingsUpdate whole;
  REQUIRE(whole.ParseFromString(machine.EncodeUpdate(0)));
  CHECK(whole.from_version() == 0);
  CHECK(whole.edits_size() == 21);
}

TEST_CASE("the dispatcher gives each table its commands and snapshot") {
  SettingsMachine machine;
  TableDispatcher tables;
  tables.Add(wire::TABLE_SETTINGS, machine);
  const auto change = MakeChange("a", 0, {SetFleet(kAttempts, 3)});
  CHECK_FALSE(tables
                  .Apply(1, EncodeCommand(wire::TABLE_SETTINGS,
                                          change.SerializeAsString()))
                  .empty());
  CHECK(tables.Apply(2, EncodeCommand(wire::TABLE_CLAIMS, "x")).empty());
  CHECK(tables.Apply(3, "\xff").empty());
  SettingsMachine other;
  TableDispatcher others;
  CHECK_THROWS_AS(others.RestoreSnapshot(tables.TakeSnapshot()),
                  support::Error);
  others.Add(wire::TABLE_SETTINGS, other);
  others.RestoreSnapshot(tables.TakeSnapshot());
  CHECK(other.version() == 1);
}

}  // namespace
}  // namespace yuccastair::state
