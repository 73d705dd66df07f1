// A target says that it leaves while its relay is killed and starts again.

#include <catch2/catch.hpp>
#include <chrono>

#include "departing_target.h"

namespace yuccastair {
namespace {

using namespace std::chrono_literals;

// Drain time of the relays (SoakLayout), and a margin.
constexpr auto kDrained = 2500ms;
constexpr auto kObserved = 2000ms;
// Control processes forget a relay that is silent for 3 s.
constexpr auto kLongerThanMembershipExpiry = 3500ms;
// A departure is acknowledged within this time whatever happens.
constexpr auto kMaxAcknowledgementTime = 4000ms;

// Guards against a target that is used again after its relay has acknowledged
// that it leaves, because the relay was killed before or after that.
TEST_CASE("a late heartbeat does not bring back a target that has left") {
  DepartingTarget system(1);
  const int late = system.sequence() + 1;
  SECTION("and deregistered at a relay that had just started") {
    system.RestartRelay();
    REQUIRE(system.Deregister() == 200);
  }
  SECTION("and deregistered before its relay was killed") {
    REQUIRE(system.Deregister() == 200);
    system.RunFor(200ms);
    system.RestartRelay();
  }
  SECTION("and drained before its relay was killed") {
    REQUIRE(system.Beat(late + 1, "draining") == 200);
    system.RunFor(200ms);
    system.RestartRelay();
  }
  SECTION("and deregistered just before its relay was killed") {
    REQUIRE(system.Deregister() == 200);
    system.RestartRelay();
  }
  SECTION("and drained just before its relay was killed") {
    REQUIRE(system.Beat(late + 1, "draining") == 200);
    system.RestartRelay();
  }
  SECTION("and deregistered before its relay was away for long") {
    REQUIRE(system.Deregister() == 200);
    system.RunFor(200ms);
    system.RestartRelay(kLongerThanMembershipExpiry);
  }
  CHECK(system.Beat(late) == 200);
  system.RunFor(kDrained);
  const std::size_t before = system.RequestCount();
  system.RunFor(kObserved);
  CHECK(system.RequestCount() == before);
}

// Guards against an acknowledgement of a departure that only the relay knows.
TEST_CASE("a departure is acknowledged once control processes hold it") {
  DepartingTarget system(2);
  const int late = system.sequence() + 1;
  system.FreezeControl();
  CHECK(system.Deregister() == 503);
  system.ContinueControl();
  system.AwaitThat("an acknowledgement",
                   [&] { return system.Deregister() == 200; });
  system.RestartRelay();
  CHECK(system.Beat(late) == 200);
  system.RunFor(kDrained);
  const std::size_t before = system.RequestCount();
  system.RunFor(kObserved);
  CHECK(system.RequestCount() == before);
}

TEST_CASE("a target may leave while no control process is in reach") {
  DepartingTarget system(3);
  system.FreezeControl();
  const support::SteadyClock clock;
  const support::TimePoint began = clock.Now();
  system.AwaitThat("an acknowledgement",
                   [&] { return system.Deregister() == 200; });
  CHECK(clock.Now() - began <= kMaxAcknowledgementTime);
  system.RunFor(kDrained);
  const std::size_t before = system.RequestCount();
  system.RunFor(kObserved);
  CHECK(system.RequestCount() == before);
}

}  // namespace
}  // namespace yuccastair
