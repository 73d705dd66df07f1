// Orders that take the only target of a service out of use.

#include <catch2/catch.hpp>
#include <chrono>

#include "departing_target.h"

namespace yuccastair {
namespace {

using namespace std::chrono_literals;

// More requests than arrive while relays learn of a departure, or of an order
// for a zone.
constexpr std::size_t kRequestsAfterDeparture = 20;
constexpr std::size_t kRequestsAfterZoneOrder = 50;
// Drain time of the relays (SoakLayout), and a margin.
constexpr auto kDrained = 2500ms;
// Time after which a zone that is out gets no new work (design.md), and a
// margin.
constexpr auto kZoneEmpty = 3500ms;
constexpr auto kObserved = 2000ms;

// Guards against an order that ends a service whose target may still be used.
TEST_CASE("the last target is used until it has to stop") {
  DepartingTarget system(0, SoakLayout::kLastTargetPorts);
  auto time_to_stop = kDrained;
  std::size_t expected = kRequestsAfterDeparture;
  SECTION("when it drains") {
    REQUIRE(system.Beat(system.sequence() + 1, "draining") == 200);
  }
  SECTION("when it deregisters") {
    REQUIRE(system.Deregister() == 200);
  }
  SECTION("when its zone is taken out of service") {
    REQUIRE(system.Order("/yuccastair/Evacuations.Start/z1") == 200);
    time_to_stop = kZoneEmpty;
    expected = kRequestsAfterZoneOrder;
  }
  const std::size_t at_order = system.RequestCount();
  system.RunFor(time_to_stop);
  const std::size_t at_stop = system.RequestCount();
  CHECK(at_stop - at_order > expected);
  system.RunFor(kObserved);
  CHECK(system.RequestCount() == at_stop);
}

}  // namespace
}  // namespace yuccastair
