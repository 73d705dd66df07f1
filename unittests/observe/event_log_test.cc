// The event log: numbered without gaps, bounded, read from a given number on.

#include "yuccastair/observe/event_log.h"

#include <catch2/catch.hpp>

namespace yuccastair::observe {
namespace {

TEST_CASE("a reader that names the last event it saw gets only later ones") {
  EventLog log;
  log.Record("member.expired", "no sync for 3 s", {{"node", "n1"}});
  log.Record("leader.changed", "an election was won");
  const auto events = log.Since(1);
  REQUIRE(events.size() == 1);
  CHECK(events[0].number == 2);
  CHECK(events[0].name == "leader.changed");
}

TEST_CASE("the oldest events give way when the log is full") {
  EventLog log(2);
  for (int i = 0; i < 5; ++i)
    log.Record("member.expired", "no sync for 3 s");
  const auto events = log.Since(0);
  REQUIRE(events.size() == 2);
  CHECK(events[0].number == 4);
}

}  // namespace
}  // namespace yuccastair::observe
