// Choice of targets, ejection and reinstatement.

#include "yuccastair/routing/router.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace yuccastair::routing {
namespace {

using std::chrono::milliseconds;

class RouterFixture {
 protected:
  RouterFixture()
      : router_(clock_, Options(), "z1", [this](std::uint32_t bound) {
          return std::uniform_int_distribution<std::uint32_t>(
              0, bound - 1)(random_);
        }) {}

  void AddMember(const std::string& id,
                 const std::string& zone = "z1",
                 wire::TargetState state = wire::TARGET_STATE_UP) {
    wire::Member member;
    member.set_node_id(id);
    member.set_incarnation("1");
    member.set_address(id + ":1");
    member.set_availability_zone(zone);
    member.set_state(state);
    members_.push_back(member);
    router_.SetMembers(members_);
  }

  static wire::LoadReport MakeReport(
      std::uint32_t running,
      std::uint32_t limit,
      std::uint32_t queued = 0,
      wire::TargetState state = wire::TARGET_STATE_UP) {
    wire::LoadReport load;
    load.set_running(running);
    load.set_limit(limit);
    load.set_queued(queued);
    load.set_state(state);
    return load;
  }

  /// Ends one call to the target \p id with a load report.
  void RecordWithReport(const std::string& id,
                        const wire::LoadReport& load,
                        AttemptOutcome outcome = AttemptOutcome::kServed) {
    Choice choice;
    choice.node_id = id;
    router_.RecordOutcome(choice, outcome, &load);
  }

  std::map<std::string, int> CountChoices(int calls, bool idempotent = true) {
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; ++i) {
      const auto choice = router_.Choose(idempotent, {});
      if (!choice)
        continue;
      ++counts[choice->node_id];
      router_.RecordOutcome(*choice, AttemptOutcome::kAbandoned, nullptr);
    }
    return counts;
  }

  /// Fails calls to the target \p id until it is ejected.
  void EjectTarget(const std::string& id) {
    Choice choice;
    choice.node_id = id;
    for (int i = 0; i < 5; ++i)
      router_.RecordOutcome(choice, AttemptOutcome::kFailed, nullptr);
  }

  support::ManualClock clock_;
  std::mt19937 random_{7};
  std::vector<wire::Member> members_;
  Router router_;
};

TEST_CASE_METHOD(RouterFixture, "calls go to the less loaded targets") {
  AddMember("a");
  AddMember("b");
  AddMember("c");
  RecordWithReport("a", MakeReport(9, 10));
  RecordWithReport("b", MakeReport(1, 10));
  RecordWithReport("c", MakeReport(1, 10));
  auto counts = CountChoices(300);
  CHECK(counts["a"] == 0);
  CHECK(counts["b"] > 100);
  CHECK(counts["c"] > 100);
}

// Guards against sending all calls to the target that has reported the lowest
// load, without regard to the calls sent since and the age of the report.
TEST_CASE_METHOD(RouterFixture, "outstanding calls and report age count") {
  AddMember("a");
  AddMember("b");
  RecordWithReport("a", MakeReport(0, 10));
  RecordWithReport("b", MakeReport(4, 10));
  std::map<std::string, int> counts;
  for (int i = 0; i < 10; ++i)
    ++counts[router_.Choose(true, {})->node_id];
  CHECK(counts["a"] == 7);
  CHECK(counts["b"] == 3);
  clock_.Advance(milliseconds(5000));
  const auto choice = router_.Choose(true, {"a"});
  REQUIRE(choice);
  CHECK(choice->load < 4.1);
}

TEST_CASE_METHOD(RouterFixture, "the local zone is preferred below capacity") {
  AddMember("a", "z1");
  AddMember("b", "z2");
  CHECK(CountChoices(50)["b"] == 0);
  RecordWithReport("a", MakeReport(10, 10));
  RecordWithReport("b", MakeReport(2, 10));
  CHECK(CountChoices(50)["a"] == 0);
}

// Guards against new work for a target that does not accept it.
TEST_CASE_METHOD(RouterFixture, "some targets get no calls") {
  AddMember("a");
  SECTION("because of their announced state") {
    const auto state =
        GENERATE(wire::TARGET_STATE_DRAINING, wire::TARGET_STATE_LEAVING,
                 wire::TARGET_STATE_DOWN);
    AddMember("b", "z1", state);
  }
  SECTION("because of the state in their last reply") {
    AddMember("b");
    RecordWithReport("b", MakeReport(0, 10, 0, wire::TARGET_STATE_LEAVING));
  }
  SECTION("because their zone is out of service") {
    AddMember("b", "z2");
    router_.SetZonesOut({"z2"});
    RecordWithReport("a", MakeReport(10, 10));
  }
  SECTION("because they are cold and at their limit") {
    AddMember("b");
    RecordWithReport("b", MakeReport(2, 2, 0, wire::TARGET_STATE_COLD));
  }
  CHECK(CountChoices(50)["b"] == 0);
  CHECK_FALSE(router_.Choose(true, {"a"}));
}

// Guards against calls that are rejected while a target that is about to leave
// has room, and against its use while the others have.
TEST_CASE_METHOD(RouterFixture, "a retiring target is a last resort") {
  AddMember("a");
  SECTION("by its state") {
    AddMember("b", "z1", wire::TARGET_STATE_RETIRING);
  }
  SECTION("by the state in its last reply") {
    AddMember("b");
    RecordWithReport("b", MakeReport(0, 10, 0, wire::TARGET_STATE_RETIRING));
  }
  SECTION("by its zone") {
    AddMember("b", "z2");
    router_.SetZonesOut({}, {"z2"});
  }
  RecordWithReport("a", MakeReport(8, 10));
  CHECK(CountChoices(50)["b"] == 0);
  RecordWithReport("a", MakeReport(10, 10, 5));
  CHECK(CountChoices(50)["a"] == 0);
  CHECK(router_.Choose(true, {"a"}));
  CHECK_FALSE(router_.HasNoUsableMember());
  members_.erase(members_.begin());
  router_.SetMembers(members_);
  CHECK_FALSE(router_.HasNoUsableMember());
  router_.SetZonesOut({"z1", "z2"});
  CHECK(router_.HasNoUsableMember());
}

TEST_CASE_METHOD(RouterFixture,
                 "a retiring target comes before an ejected one") {
  AddMember("a");
  AddMember("b", "z1", wire::TARGET_STATE_RETIRING);
  EjectTarget("a");
  CHECK(CountChoices(50)["b"] == 50);
}

// Guards against a target that stays excluded after a cancelled drain.
TEST_CASE_METHOD(RouterFixture, "a stale report of a state is ignored") {
  AddMember("a");
  RecordWithReport("a", MakeReport(0, 10, 0, wire::TARGET_STATE_LEAVING));
  CHECK_FALSE(router_.Choose(true, {}));
  clock_.Advance(milliseconds(3000));
  CHECK(router_.Choose(true, {}));
}

TEST_CASE_METHOD(RouterFixture, "a cold target gets calls up to its ramp") {
  AddMember("a", "z1", wire::TARGET_STATE_COLD);
  RecordWithReport("a", MakeReport(0, 2, 0, wire::TARGET_STATE_COLD));
  CHECK(router_.Choose(true, {}));
  CHECK(router_.Choose(true, {}));
  // A retry does not exceed the ramp.
  CHECK_FALSE(router_.Choose(true, {"b"}));
}

// Guards against a rejection that ignores importance. The node of the target
// enforces the ramp and takes importance into account.
TEST_CASE_METHOD(RouterFixture,
                 "a first attempt gets a target if all are cold and full") {
  for (const char* id : {"a", "b"}) {
    AddMember(id, "z1", wire::TARGET_STATE_COLD);
    RecordWithReport(id, MakeReport(2, 2, 0, wire::TARGET_STATE_COLD));
  }
  CHECK(router_.Choose(true, {}));
  AddMember("c");
  CHECK(CountChoices(20)["c"] == 20);
}

TEST_CASE_METHOD(RouterFixture, "failing targets are ejected and reinstated") {
  for (const char* id : {"a", "b", "c"})
    AddMember(id);
  EjectTarget("a");
  CHECK(router_.IsEjected("a"));
  CHECK(CountChoices(100)["a"] == 0);
  clock_.Advance(milliseconds(1000));
  // Only an idempotent call probes, and one at a time.
  CHECK(CountChoices(100, false)["a"] == 0);
  const auto probe = router_.Choose(true, {});
  REQUIRE(probe);
  CHECK(probe->probe);
  CHECK(probe->node_id == "a");
  CHECK_FALSE(router_.Choose(true, {})->probe);
  SECTION("a failed probe doubles the ejection time") {
    router_.RecordOutcome(*probe, AttemptOutcome::kFailed, nullptr);
    clock_.Advance(milliseconds(1500));
    CHECK(CountChoices(100)["a"] == 0);
    clock_.Advance(milliseconds(500));
    CHECK(router_.Choose(true, {})->probe);
  }
  SECTION("two successful probes reinstate it") {
    router_.RecordOutcome(*probe, AttemptOutcome::kServed, nullptr);
    CHECK(router_.IsEjected("a"));
    router_.RecordOutcome(*router_.Choose(true, {}), AttemptOutcome::kServed,
                          nullptr);
    CHECK_FALSE(router_.IsEjected("a"));
  }
}

// Guards against a service without idempotent calls that never reinstates its
// ejected targets.
TEST_CASE_METHOD(RouterFixture, "any call may probe after a longer time") {
  for (const char* id : {"a", "b", "c"})
    AddMember(id);
  EjectTarget("a");
  clock_.Advance(milliseconds(4000));
  CHECK(router_.Choose(false, {})->probe);
}

// Guards against ejecting all targets when a service that they call fails.
TEST_CASE_METHOD(RouterFixture, "the ejected share is bounded") {
  for (const char* id : {"a", "b", "c", "d", "e", "f"})
    AddMember(id);
  for (const char* id : {"a", "b", "c", "d"})
    EjectTarget(id);
  CHECK(router_.IsEjected("a"));
  CHECK(router_.IsEjected("b"));
  CHECK_FALSE(router_.IsEjected("c"));
  CHECK_FALSE(router_.IsEjected("d"));
}

TEST_CASE_METHOD(RouterFixture, "an unreachable target is ejected at once") {
  AddMember("a");
  AddMember("b");
  Choice choice;
  choice.node_id = "a";
  router_.RecordOutcome(choice, AttemptOutcome::kUnreachable, nullptr);
  CHECK(router_.IsEjected("a"));
  // A restart of the node ends the ejection.
  members_[0].set_incarnation("2");
  router_.SetMembers(members_);
  CHECK_FALSE(router_.IsEjected("a"));
}

// Guards against treating rejections as failures, which would eject overloaded
// targets.
TEST_CASE_METHOD(RouterFixture, "rejections do not eject") {
  AddMember("a");
  AddMember("b");
  for (int i = 0; i < 20; ++i)
    RecordWithReport("a", MakeReport(10, 10, 5), AttemptOutcome::kRejected);
  CHECK_FALSE(router_.IsEjected("a"));
  CHECK_FALSE(router_.AllOverloaded());
  RecordWithReport("b", MakeReport(10, 10, 1), AttemptOutcome::kRejected);
  CHECK(router_.AllOverloaded());
  clock_.Advance(milliseconds(2000));
  CHECK_FALSE(router_.AllOverloaded());
}

// Guards against a rejection for lack of targets whose cause the log does not
// show.
TEST_CASE_METHOD(RouterFixture, "each excluded member has a reason") {
  AddMember("tried");
  AddMember("out", "z2");
  AddMember("draining", "z1", wire::TARGET_STATE_DRAINING);
  router_.SetZonesOut({"z2"});
  REQUIRE_FALSE(router_.Choose(true, {"tried"}));
  std::map<std::string, std::string> reasons;
  for (const ExcludedMember& member : router_.ExplainExclusions({"tried"}))
    reasons[member.node_id] = member.reason;
  CHECK(reasons == std::map<std::string, std::string>{
                       {"tried", "tried"},
                       {"out", "zone out of service"},
                       {"draining", "TARGET_STATE_DRAINING"}});
}

}  // namespace
}  // namespace yuccastair::routing
