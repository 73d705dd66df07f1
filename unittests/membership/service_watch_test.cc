// Detection of services that lose their last target by several commands.

#include "yuccastair/membership/target_availability_monitor.h"

#include <catch2/catch.hpp>

namespace yuccastair::membership {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kExpiry{3000};
// Age of the view of a control process that is connected to the leader.
constexpr milliseconds kFreshViewAge{50};

class PreviewServiceFixture {
 public:
  PreviewServiceFixture() {
    for (const char* zone : {"a", "b", "c"})
      Report(zone, wire::TARGET_STATE_UP);
    clock_.Advance(kExpiry);
    for (const char* zone : {"a", "b", "c"})
      Report(zone, wire::TARGET_STATE_UP);
  }

  /// Reports the node of the only target in \p zone.
  void Report(const std::string& zone, wire::TargetState state) {
    wire::Member member;
    member.set_node_id("node-" + zone);
    member.set_incarnation("1");
    member.set_service("preview");
    member.set_availability_zone(zone);
    member.set_address("127.0.0.1:1");
    member.set_state(state);
    registry_.ApplyReport(member);
  }

  std::vector<TargetAvailabilityMonitor::Change> Check() {
    return monitor_.Check({"preview"}, kFreshViewAge);
  }

  support::ManualClock clock_;
  Registry registry_{clock_, kExpiry};
  TargetAvailabilityMonitor monitor_{clock_, registry_};
};

// Guards against a loss that operators notice only by failed requests: the zone
// that they took out of service holds the last target of a service.
TEST_CASE("the loss of the last target of a service is reported once") {
  PreviewServiceFixture fixture;
  CHECK(fixture.Check().empty());
  fixture.Report("b", wire::TARGET_STATE_LEAVING);
  fixture.registry_.SetZonesOut({"a"});
  CHECK(fixture.Check().empty());
  fixture.Report("c", wire::TARGET_STATE_DRAINING);
  CHECK(fixture.Check().empty());
  fixture.Report("c", wire::TARGET_STATE_LEAVING);
  const auto changes = fixture.Check();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].service == "preview");
  CHECK_FALSE(changes[0].has_target);
  REQUIRE(changes[0].excluded_targets.size() == 3);
  CHECK(changes[0].excluded_targets[0].node_id == "node-a");
  CHECK(changes[0].excluded_targets[0].zone_out);
  CHECK(changes[0].excluded_targets[0].state == wire::TARGET_STATE_UP);
  CHECK_FALSE(changes[0].excluded_targets[2].zone_out);
  CHECK(changes[0].excluded_targets[2].state == wire::TARGET_STATE_LEAVING);
  CHECK(fixture.monitor_.services_without_target() == 1);
  CHECK(fixture.Check().empty());
}

// Guards against operators who learn only from the outage that a service had
// one target left.
TEST_CASE("operators are told of the last target before it goes") {
  PreviewServiceFixture fixture;
  const auto check = [&] {
    return fixture.monitor_.CheckLastTargets({"preview"}, kFreshViewAge);
  };
  CHECK(check().empty());
  fixture.Report("b", wire::TARGET_STATE_LEAVING);
  CHECK(check().empty());
  fixture.registry_.SetZonesOut({}, {"a"});
  auto warnings = check();
  REQUIRE(warnings.size() == 1);
  CHECK(warnings[0].service == "preview");
  CHECK(warnings[0].remaining_target == "node-c");
  REQUIRE(warnings[0].excluded_targets.size() == 2);
  CHECK(warnings[0].excluded_targets[0].node_id == "node-a");
  CHECK(warnings[0].excluded_targets[0].zone_out);
  CHECK_FALSE(warnings[0].excluded_targets[1].zone_out);
  CHECK(fixture.monitor_.services_at_last_target() == 1);
  CHECK(check().empty());
  SECTION("and again when that retires") {
    fixture.Report("c", wire::TARGET_STATE_RETIRING);
    warnings = check();
    REQUIRE(warnings.size() == 1);
    CHECK(warnings[0].remaining_target.empty());
    CHECK(fixture.Check().empty());
  }
  SECTION("until there is a second one") {
    fixture.registry_.SetZonesOut({});
    CHECK(check().empty());
    CHECK(fixture.monitor_.services_at_last_target() == 0);
  }
}

// Guards against false alarms for services that have one target by design.
TEST_CASE("a service that never had a second target is not reported") {
  PreviewServiceFixture fixture;
  fixture.Report("b", wire::TARGET_STATE_LEAVING);
  fixture.Report("c", wire::TARGET_STATE_LEAVING);
  CHECK(fixture.monitor_.CheckLastTargets({"preview"}, kFreshViewAge).empty());
}

TEST_CASE("a regained target is reported with the duration of the outage") {
  PreviewServiceFixture fixture;
  fixture.registry_.SetZonesOut({"a", "b", "c"});
  REQUIRE(fixture.Check().size() == 1);
  fixture.clock_.Advance(milliseconds(700));
  fixture.registry_.SetZonesOut({"a", "b"});
  const auto changes = fixture.Check();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].has_target);
  CHECK(changes[0].outage_duration == milliseconds(700));
  CHECK(fixture.monitor_.services_without_target() == 0);
}

// Guards against false alarms after each restart of a control process, when no
// node has reported yet.
TEST_CASE("a control process that has just started reports no change") {
  support::ManualClock clock;
  Registry registry(clock, kExpiry);
  TargetAvailabilityMonitor monitor(clock, registry);
  CHECK(monitor.Check({"preview"}, kFreshViewAge).empty());
  clock.Advance(kExpiry);
  CHECK(monitor.Check({"preview"}, kFreshViewAge).size() == 1);
}

// Guards against false alarms for every service by a control process that is
// disconnected from the others and receives no reports of their targets.
TEST_CASE("a control process with a stale view reports no change") {
  PreviewServiceFixture fixture;
  fixture.registry_.SetZonesOut({"a", "b", "c"});
  const milliseconds stale_age =
      TargetAvailabilityMonitor::kMaxViewAge + milliseconds(1);
  CHECK(fixture.monitor_.Check({"preview"}, stale_age).empty());
  CHECK(fixture.Check().empty());
  fixture.clock_.Advance(TargetAvailabilityMonitor::kViewSettlingTime);
  CHECK(fixture.Check().size() == 1);
}

TEST_CASE("a service that is removed from the policy is no longer counted") {
  PreviewServiceFixture fixture;
  fixture.registry_.SetZonesOut({"a", "b", "c"});
  REQUIRE(fixture.Check().size() == 1);
  CHECK(fixture.monitor_.Check({}, kFreshViewAge).empty());
  CHECK(fixture.monitor_.services_without_target() == 0);
}

}  // namespace
}  // namespace yuccastair::membership
