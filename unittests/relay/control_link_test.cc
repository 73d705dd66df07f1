// Tests which control process a relay uses if one does not reply or is
// disconnected from the others.

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "control_link_fixture.h"
#include "fake_control_process.h"

namespace yuccastair::relay {
namespace {

// Guards against a relay that stays with a control process whose view is stale,
// and so misses a policy that is in force everywhere else.
TEST_CASE_METHOD(ControlLinkFixture,
                 "a relay leaves a control process with a stale view") {
  // The addresses determine which one is used first.
  const bool first_is_old = GENERATE(true, false);
  CAPTURE(first_is_old);
  FakeControlProcess one("127.0.0.1:26001", first_is_old ? 5000 : 0);
  FakeControlProcess two("127.0.0.1:26002", first_is_old ? 0 : 5000);
  Start({"127.0.0.1:26001", "127.0.0.1:26002"});
  REQUIRE(RunUntil([&] { return IsFresh(); }));
  CHECK((first_is_old ? one : two).sync_count() <= 1);
}

// Guards against syncs that cross zones, which are charged.
TEST_CASE_METHOD(ControlLinkFixture,
                 "a relay moves to the control process of its own zone") {
  const std::vector<std::string> addresses = {"127.0.0.1:26011",
                                              "127.0.0.1:26012"};
  const std::vector<std::string> zones = {"b", "a"};
  FakeControlProcess other_zone(addresses[0], 0, addresses, zones);
  FakeControlProcess own_zone(addresses[1], 0, addresses, zones);
  Start({addresses[0]});
  REQUIRE(RunUntil([&] { return own_zone.sync_count() >= 4; }));
  const int before = other_zone.sync_count();
  REQUIRE(RunUntil([&] { return own_zone.sync_count() >= 8; }));
  CHECK(other_zone.sync_count() == before);
  CHECK(IsFresh());
}

// Guards against a control process that is cut off from the others and still
// lists targets that have left since.
TEST_CASE_METHOD(ControlLinkFixture,
                 "a stale view is not applied over a newer one") {
  constexpr std::uint32_t kOldAgeMs = 60000;
  auto current = std::make_unique<FakeControlProcess>("127.0.0.1:26013", 0);
  Start({"127.0.0.1:26013", "127.0.0.1:26014"});
  REQUIRE(RunUntil([&] { return IsFresh(); }));
  current.reset();
  const FakeControlProcess old("127.0.0.1:26014", kOldAgeMs);
  REQUIRE(RunUntil([&] { return old.sync_count() > 2; }));
  CHECK(std::count(applied_ages_.begin(), applied_ages_.end(), kOldAgeMs) == 0);
}

// A relay that has no view yet is better served by a stale one than by none.
TEST_CASE_METHOD(ControlLinkFixture,
                 "a relay without a view applies a stale "
                 "one") {
  const FakeControlProcess old("127.0.0.1:26015", 5000);
  Start({"127.0.0.1:26015"});
  CHECK(RunUntil([&] { return !applied_ages_.empty(); }));
}

TEST_CASE_METHOD(ControlLinkFixture,
                 "a relay leaves a silent control process") {
  FakeControlProcess control("127.0.0.1:26003", 0);
  Start({"127.0.0.1:26003", "127.0.0.1:26004"});
  CHECK(RunUntil([&] { return IsFresh(); }));
}

// Guards against a log that does not distinguish a missing connection from a
// control process that does not reply or has a stale view.
TEST_CASE_METHOD(ControlLinkFixture,
                 "a failed sync is counted under its reason") {
  const auto lost = [this](const std::string& reason) {
    return metrics_.CounterValue("yuccastair_control_lost_total",
                                 {{"reason", reason}});
  };
  SECTION("no process listens") {
    Start({"127.0.0.1:26009"});
    CHECK(RunUntil([&] { return lost("no connection") > 0; }));
  }
  SECTION("the view is stale") {
    FakeControlProcess control("127.0.0.1:26010", 5000);
    Start({"127.0.0.1:26010"});
    CHECK(RunUntil([&] { return lost("old view") > 0; }));
  }
}

// Guards against seeds that are never reloaded after all addresses have
// changed.
TEST_CASE_METHOD(ControlLinkFixture,
                 "seeds are reloaded when no control process replies") {
  Start({"127.0.0.1:26005"});
  CHECK(RunUntil([&] { return reload_count_ > 0; }));
  FakeControlProcess control("127.0.0.1:26006", 0);
  link_->SetSeeds({"127.0.0.1:26006"});
  CHECK(RunUntil([&] { return IsFresh(); }));
}

// Guards against a division by the number of addresses if there are none.
TEST_CASE_METHOD(ControlLinkFixture, "a relay without seeds waits for some") {
  Start({"127.0.0.1:26007"});
  context_.run_for(std::chrono::milliseconds(20));
  link_->SetSeeds({});
  context_.run_for(std::chrono::seconds(1));
  FakeControlProcess control("127.0.0.1:26008", 0);
  link_->SetSeeds({"127.0.0.1:26008"});
  CHECK(RunUntil([&] { return IsFresh(); }));
}

}  // namespace
}  // namespace yuccastair::relay
