// The registry sends each revision to a node once and removes members that stop
// reporting.

#include "yuccastair/membership/registry.h"

#include <catch2/catch.hpp>

namespace yuccastair::membership {
namespace {

using std::chrono::milliseconds;

wire::Member MakeMember(const std::string& id) {
  wire::Member member;
  member.set_node_id(id);
  member.set_incarnation("1");
  member.set_service("orders");
  member.set_address("127.0.0.1:1");
  member.set_state(wire::TARGET_STATE_UP);
  return member;
}

TEST_CASE("a node that has the current revision receives no members") {
  support::ManualClock clock;
  Registry registry(clock, milliseconds(3000));
  // The registry is complete only after the expiry time.
  clock.Advance(milliseconds(3000));
  registry.ApplyReport(MakeMember("a"));
  wire::SyncReply first;
  registry.FillReply("orders", 0, first);
  REQUIRE(first.services_size() == 1);
  wire::SyncReply second;
  registry.FillReply("orders", first.services(0).revision(), second);
  CHECK(second.services_size() == 0);
}

TEST_CASE("a member that stops reporting is removed") {
  support::ManualClock clock;
  Registry registry(clock, milliseconds(3000));
  registry.ApplyReport(MakeMember("a"));
  clock.Advance(milliseconds(2000));
  registry.ApplyReport(MakeMember("b"));
  clock.Advance(milliseconds(1500));
  registry.RemoveExpired();
  wire::SyncReply reply;
  registry.FillReply("orders", 0, reply);
  REQUIRE(reply.services_size() == 1);
  REQUIRE(reply.services(0).members_size() == 1);
  CHECK(reply.services(0).members(0).node_id() == "b");
}

TEST_CASE("a leaving member is not advertised to nodes") {
  support::ManualClock clock;
  Registry registry(clock, milliseconds(3000));
  wire::Member member = MakeMember("a");
  registry.ApplyReport(member);
  member.set_state(wire::TARGET_STATE_LEAVING);
  registry.ApplyReport(member);
  wire::SyncReply reply;
  registry.FillReply("orders", 0, reply);
  REQUIRE(reply.services_size() == 1);
  CHECK(reply.services(0).members_size() == 0);
}

}  // namespace
}  // namespace yuccastair::membership
