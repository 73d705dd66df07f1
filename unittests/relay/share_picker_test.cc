// Tests the distribution of a route's requests over its services.

#include "weighted_round_robin.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>

namespace yuccastair::relay {
namespace {

wire::PolicyRoute Route(std::uint32_t first, std::uint32_t second) {
  wire::PolicyRoute route;
  route.set_name("r");
  route.add_shares()->set_service("a");
  route.add_shares()->set_service("b");
  route.mutable_shares(0)->set_weight(first);
  route.mutable_shares(1)->set_weight(second);
  return route;
}

// Guards against shares that are correct only over long periods: the rule
// applies to windows of a few hundred requests over many relays.
TEST_CASE("every sequence of requests keeps its shares to within two") {
  for (std::uint32_t start : {0U, 1U, 5U}) {
    WeightedRoundRobin picker(
        [start](std::uint32_t bound) { return start % bound; });
    const wire::PolicyRoute route = Route(90, 10);
    int others = 0;
    for (int i = 1; i <= 1000; ++i) {
      others += picker.Pick(route) == "b" ? 1 : 0;
      CAPTURE(start, i, others);
      REQUIRE(std::abs(others - i / 10) <= 2);
    }
  }
}

TEST_CASE("a service with weight 0 gets no requests") {
  WeightedRoundRobin picker([](std::uint32_t) { return 0U; });
  const wire::PolicyRoute route = Route(0, 7);
  for (int i = 0; i < 20; ++i)
    CHECK(picker.Pick(route) == "b");
}

}  // namespace
}  // namespace yuccastair::relay
