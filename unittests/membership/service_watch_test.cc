// Detection of services that lose their last target by several commands.

#include "yuccastair/membership/service_watch.h"

#include <catch2/catch.hpp>

namespace yuccastair::membership {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kExpiry{3000};
// Age of the view of a control process that is connected to the leader.
constexpr milliseconds kFresh{50};

class Preview {
 public:
  Preview() {
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
    registry_.Report(member);
  }

  std::vector<ServiceWatch::Change> Check() {
    return watch_.Check({"preview"}, kFresh);
  }

  support::ManualClock clock_;
  Registry registry_{clock_, kExpiry};
  ServiceWatch watch_{clock_, registry_};
};

// Guards against a loss that operators notice only by failed requests: the zone
// that they took out of service holds the last target of a service.
TEST_CASE("the loss of the last target of a service is reported once") {
  Preview fleet;
  CHECK(fleet.Check().empty());
  fleet.Report("b", wire::TARGET_STATE_LEAVING);
  fleet.registry_.SetZonesOut({"a"});
  CHECK(fleet.Check().empty());
  fleet.Report("c", wire::TARGET_STATE_DRAINING);
  CHECK(fleet.Check().empty());
  fleet.Report("c", wire::TARGET_STATE_LEAVING);
  const auto changes = fleet.Check();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].service == "preview");
  CHECK_FALSE(changes[0].has_target);
  REQUIRE(changes[0].left_out.size() == 3);
  CHECK(changes[0].left_out[0].node_id == "node-a");
  CHECK(changes[0].left_out[0].zone_out);
  CHECK(changes[0].left_out[0].state == wire::TARGET_STATE_UP);
  CHECK_FALSE(changes[0].left_out[2].zone_out);
  CHECK(changes[0].left_out[2].state == wire::TARGET_STATE_LEAVING);
  CHECK(fleet.watch_.without_target() == 1);
  CHECK(fleet.Check().empty());
}

TEST_CASE("a regained target is reported with the duration of the outage") {
  Preview fleet;
  fleet.registry_.SetZonesOut({"a", "b", "c"});
  REQUIRE(fleet.Check().size() == 1);
  fleet.clock_.Advance(milliseconds(700));
  fleet.registry_.SetZonesOut({"a", "b"});
  const auto changes = fleet.Check();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].has_target);
  CHECK(changes[0].lasted == milliseconds(700));
  CHECK(fleet.watch_.without_target() == 0);
}

// Guards against false alarms after each restart of a control process, when no
// node has reported yet.
TEST_CASE("a control process that has just started reports no change") {
  support::ManualClock clock;
  Registry registry(clock, kExpiry);
  ServiceWatch watch(clock, registry);
  CHECK(watch.Check({"preview"}, kFresh).empty());
  clock.Advance(kExpiry);
  CHECK(watch.Check({"preview"}, kFresh).size() == 1);
}

// Guards against false alarms for every service by a control process that is
// disconnected from the others and receives no reports of their targets.
TEST_CASE("a control process with a stale view reports no change") {
  Preview fleet;
  fleet.registry_.SetZonesOut({"a", "b", "c"});
  const milliseconds old = ServiceWatch::kOldestView + milliseconds(1);
  CHECK(fleet.watch_.Check({"preview"}, old).empty());
  CHECK(fleet.Check().empty());
  fleet.clock_.Advance(ServiceWatch::kViewSettles);
  CHECK(fleet.Check().size() == 1);
}

TEST_CASE("a service that is removed from the policy is no longer counted") {
  Preview fleet;
  fleet.registry_.SetZonesOut({"a", "b", "c"});
  REQUIRE(fleet.Check().size() == 1);
  CHECK(fleet.watch_.Check({}, kFresh).empty());
  CHECK(fleet.watch_.without_target() == 0);
}

}  // namespace
}  // namespace yuccastair::membership
