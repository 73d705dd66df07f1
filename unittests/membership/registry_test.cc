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

// Guards against a target that has left and is forgotten with the process of
// its node.
TEST_CASE("a departing target is kept when its node process restarts") {
  support::ManualClock clock;
  Registry registry(clock, milliseconds(3000));
  Registry other(clock, milliseconds(3000));
  wire::Member member;
  member.set_node_id("n");
  member.set_service("s");
  member.set_state(wire::TARGET_STATE_LEAVING);
  member.set_started_ms(5);
  member.set_sequence(1);
  registry.ApplyReport(member);
  CHECK(registry.FindDepartingTarget("n") == nullptr);
  member.set_sequence(2);
  member.mutable_departing_target()->set_target_id("a");
  member.mutable_departing_target()->set_started_ms(7);
  registry.ApplyReport(member);
  // The node reports to another control process after its restart.
  other.ApplyDelta("peer", registry.HandlePull(other.MakePull("peer")));
  member.clear_departing_target();
  member.set_started_ms(6);
  for (int sequence = 1; sequence <= 2; ++sequence) {
    member.set_sequence(static_cast<std::uint64_t>(sequence));
    other.ApplyReport(member);
    REQUIRE(other.FindDepartingTarget("n") != nullptr);
    CHECK(other.FindDepartingTarget("n")->target_id() == "a");
    CHECK(other.FindDepartingTarget("n")->started_ms() == 7);
  }
  member.set_sequence(3);
  member.mutable_departing_target()->set_target_id("b");
  other.ApplyReport(member);
  CHECK(other.FindDepartingTarget("n")->target_id() == "b");
  CHECK(other.FindDepartingTarget("m") == nullptr);
}

}  // namespace
}  // namespace yuccastair::membership
