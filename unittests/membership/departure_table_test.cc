// Tests the table of the targets that have said that they leave.

#include "yuccastair/membership/departure_table.h"

#include <catch2/catch.hpp>
#include <string>

namespace yuccastair::membership {
namespace {

wire::DepartureReport Report(const std::string& node,
                             const std::string& target,
                             std::uint64_t started_ms) {
  wire::DepartureReport report;
  report.set_node_id(node);
  report.mutable_process()->set_target_id(target);
  report.mutable_process()->set_started_ms(started_ms);
  return report;
}

void Apply(DepartureTable& table, const wire::DepartureReport& report) {
  table.Apply(1, report.SerializeAsString());
}

std::string LastOf(const DepartureTable& table, const std::string& node) {
  const wire::TargetProcess* process = table.Find(node);
  return process == nullptr ? ""
                            : process->target_id() + "/" +
                                  std::to_string(process->started_ms());
}

TEST_CASE("the last departure of a node counts, whatever the order") {
  DepartureTable table;
  CHECK_FALSE(table.Covers(Report("n", "a", 5)));
  Apply(table, Report("n", "a", 5));
  CHECK(table.Covers(Report("n", "a", 5)));
  Apply(table, Report("n", "b", 7));
  CHECK(LastOf(table, "n") == "b/7");
  CHECK(table.Covers(Report("n", "a", 5)));
  Apply(table, Report("n", "a", 5));
  CHECK(LastOf(table, "n") == "b/7");
  CHECK(LastOf(table, "m").empty());
  // Without a start time nothing tells which process is the later one.
  CHECK_FALSE(table.Covers(Report("n", "c", 0)));
}

TEST_CASE("a malformed departure changes nothing") {
  DepartureTable table;
  Apply(table, Report("", "a", 5));
  Apply(table, Report("n", "", 5));
  Apply(table,
        Report(std::string(DepartureTable::kMaxNameBytes + 1, 'n'), "a", 5));
  table.Apply(1, "\xff\xff");
  CHECK(table.TakeSnapshot().empty());
}

TEST_CASE("a restored table of departures is the one that was saved") {
  DepartureTable table;
  Apply(table, Report("n", "a", 5));
  Apply(table, Report("m", "b", 6));
  DepartureTable restored;
  Apply(restored, Report("z", "c", 7));
  restored.RestoreSnapshot(table.TakeSnapshot());
  CHECK(LastOf(restored, "n") == "a/5");
  CHECK(LastOf(restored, "m") == "b/6");
  CHECK(LastOf(restored, "z").empty());
  CHECK(restored.TakeSnapshot() == table.TakeSnapshot());
  CHECK_THROWS(restored.RestoreSnapshot("\xff\xff"));
}

TEST_CASE("the oldest departures give way to new ones") {
  DepartureTable table;
  for (std::size_t i = 0; i <= DepartureTable::kMaxDepartures; ++i)
    Apply(table, Report("n" + std::to_string(i), "a", 5));
  CHECK(LastOf(table, "n0").empty());
  CHECK(LastOf(table, "n1") == "a/5");
  Apply(table, Report("n1", "b", 7));
  Apply(table, Report("new", "a", 5));
  CHECK(LastOf(table, "n1") == "b/7");
  CHECK(LastOf(table, "n2").empty());
}

}  // namespace
}  // namespace yuccastair::membership
