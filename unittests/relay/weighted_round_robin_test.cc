// Tests the distribution of a route's requests over its services.

#include "weighted_round_robin.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>

namespace yuccastair::relay {
namespace {

wire::PolicyRoute Route(const std::vector<std::uint32_t>& weights) {
  wire::PolicyRoute route;
  route.set_name("r");
  for (std::size_t i = 0; i < weights.size(); ++i) {
    wire::PolicyShare* share = route.add_shares();
    share->set_service(std::string(1, static_cast<char>('a' + i)));
    share->set_weight(weights[i]);
  }
  return route;
}

// Guards against shares that are correct only over long periods: the rule
// applies to windows of a few hundred requests over many relays.
TEST_CASE("every sequence of requests keeps its shares to within one") {
  for (std::uint32_t start : {0U, 1U, 5U}) {
    WeightedRoundRobin picker(
        [start](std::uint32_t bound) { return start % bound; });
    const wire::PolicyRoute route = Route({90, 10});
    int others = 0;
    for (int i = 1; i <= 1000; ++i) {
      others += picker.Pick(route) == "b" ? 1 : 0;
      CAPTURE(start, i, others);
      REQUIRE(std::abs(others - 0.1 * i) <= 1);
    }
  }
}

TEST_CASE("a service with weight 0 gets no requests") {
  WeightedRoundRobin picker([](std::uint32_t) { return 0U; });
  const wire::PolicyRoute route = Route({0, 7});
  for (int i = 0; i < 20; ++i)
    CHECK(picker.Pick(route) == "b");
}

TEST_CASE("large weights without a common divisor are accepted") {
  std::mt19937 random(1);
  const wire::PolicyRoute route = Route({4294967291U, 4294967279U});
  int others = 0;
  for (int relay = 0; relay < 1000; ++relay) {
    WeightedRoundRobin picker([&](std::uint32_t bound) {
      return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(random);
    });
    others += picker.Pick(route) == "b" ? 1 : 0;
  }
  CHECK(std::abs(others - 500) <= 3 * std::sqrt(1000 * 0.25));
}

// A fleet of many relays gives each of them few requests of a route between two
// restarts or changes of the policy. The relays start independently of each
// other, and the requests of one relay are spread evenly, so the fleet's count
// for a service is a sum of independent values that are off by less than one.
TEST_CASE("a fleet of relays keeps the shares from the first request on") {
  const double share = GENERATE(0.25, 0.1, 0.5, 0.03);
  const int relays = GENERATE(20, 100, 300, 1000);
  const int requests = GENERATE(1, 2, 3, 30, 300);
  const int restarts = GENERATE(0, 2);
  std::mt19937 random(17);
  const auto weight = static_cast<std::uint32_t>(std::lround(100 * share));
  const wire::PolicyRoute route = Route({100 - weight, weight});
  int others = 0;
  for (int relay = 0; relay < relays; ++relay) {
    WeightedRoundRobin picker([&](std::uint32_t bound) {
      return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(random);
    });
    for (int start = 0; start <= restarts; ++start) {
      picker.Reset();
      for (int i = 0; i < requests; ++i)
        others += picker.Pick(route) == "b" ? 1 : 0;
    }
  }
  const double runs = relays * (restarts + 1.0);
  const double expected = runs * requests * share;
  const double part = requests * share - std::floor(requests * share);
  CAPTURE(share, relays, requests, restarts, others, expected);
  CHECK(std::abs(others - expected) <=
        3 * std::sqrt(runs * part * (1 - part)) + 1e-6 * expected);
}

TEST_CASE("each of several services gets its share of first requests") {
  std::mt19937 random(3);
  const wire::PolicyRoute route = Route({60, 25, 15});
  std::map<std::string, int> first;
  constexpr int kRelays = 2000;
  for (int relay = 0; relay < kRelays; ++relay) {
    WeightedRoundRobin picker([&](std::uint32_t bound) {
      return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(random);
    });
    ++first[picker.Pick(route)];
  }
  for (const auto& [service, share] :
       std::map<std::string, double>{{"a", 0.6}, {"b", 0.25}, {"c", 0.15}}) {
    CAPTURE(service, first[service]);
    CHECK(std::abs(first[service] - share * kRelays) <=
          3 * std::sqrt(kRelays * share * (1 - share)));
  }
}

}  // namespace
}  // namespace yuccastair::relay
