// Orders for zones as a relay learns them from sync replies.

#include "fleet_state.h"

#include <catch2/catch.hpp>
#include <limits>

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;
using membership::ZoneOrders;
using membership::ZoneUse;

class FleetStateFixture {
 protected:
  FleetStateFixture() {
    wire::SyncRequest request;
    fleet_.RouterFor("s");
    fleet_.FillRequest(request);
    wire::SyncReply reply;
    wire::ServiceMembers& members = *reply.add_services();
    members.set_service("s");
    members.set_revision(1);
    members.set_full(true);
    wire::Member& member = *members.add_members();
    member.set_node_id("n");
    member.set_availability_zone("z");
    member.set_state(wire::TARGET_STATE_UP);
    fleet_.Apply(reply);
    CHECK(fleet_.KnowsTarget("s"));
  }

  /// Applies a reply that arrives \p transit after its request.
  void ApplyOrder(std::chrono::milliseconds max_age,
                  std::chrono::milliseconds transit = 0ms) {
    wire::SyncRequest request;
    fleet_.FillRequest(request);
    clock_.Advance(transit);
    wire::SyncReply reply;
    reply.set_zones_revision(1);
    reply.add_zones_out("z");
    reply.add_zones_out_max_age_ms(static_cast<std::uint32_t>(max_age.count()));
    fleet_.Apply(reply);
  }

  support::ManualClock clock_;
  FleetState fleet_{clock_, clock_, "a"};
};

TEST_CASE_METHOD(FleetStateFixture, "the targets of a zone retire with it") {
  ApplyOrder(1000ms, 400ms);
  CHECK(fleet_.UseOfZone("z") == ZoneUse::kRetiring);
  CHECK(fleet_.RetirementLeft("z") == ZoneOrders::kRetirementTime - 1400ms);
  CHECK(fleet_.KnowsTarget("s"));
  clock_.Advance(ZoneOrders::kRetirementTime - 1400ms);
  fleet_.Tick();
  CHECK(fleet_.UseOfZone("z") == ZoneUse::kOut);
  CHECK_FALSE(fleet_.KnowsTarget("s"));
}

// Guards against a relay that uses a zone anew because it has just started or
// its control process has.
TEST_CASE_METHOD(FleetStateFixture, "an order of unknown age is in force") {
  SECTION("if the reply says so") {
    ApplyOrder(
        std::chrono::milliseconds(std::numeric_limits<std::uint32_t>::max()));
  }
  SECTION("if the control process does not state ages") {
    wire::SyncReply reply;
    reply.set_zones_revision(1);
    reply.add_zones_out("z");
    fleet_.Apply(reply);
  }
  CHECK(fleet_.UseOfZone("z") == ZoneUse::kOut);
  CHECK_FALSE(fleet_.KnowsTarget("s"));
}

}  // namespace
}  // namespace yuccastair::relay
