// Guards against a wrong yardstick: the best possible goodput of a plan.

#include <catch2/catch.hpp>

#include "load_generator.h"
#include "plan.h"

namespace yuccastair::rig {
namespace {

/// Two services of 10 slots and 100 ms: 100 requests/s each.
Plan TwoServices() {
  Plan plan;
  plan.zones = {"mids-a"};
  for (const char* name : {"front", "back"}) {
    ServicePlan service;
    service.name = name;
    service.targets = 2;
    service.slots = 5;
    service.service_ms = 100;
    plan.services.push_back(service);
  }
  return plan;
}

ClassPlan Caller(const std::string& name,
                 const std::string& importance,
                 const std::string& service,
                 double rate) {
  ClassPlan caller;
  caller.name = name;
  caller.importance = importance;
  caller.service = service;
  caller.rate = rate;
  return caller;
}

TEST_CASE("important classes come first, equal ones are cut alike") {
  Plan plan = TwoServices();
  plan.classes = {
      Caller("a", "critical", "front", 40), Caller("b", "normal", "front", 60),
      Caller("c", "normal", "front", 120), Caller("d", "low", "back", 50)};
  auto best = BestGoodput(plan);
  CHECK(best["a"] == Approx(40));
  CHECK(best["b"] == Approx(20));
  CHECK(best["c"] == Approx(40));
  CHECK(best["d"] == Approx(50));
}

TEST_CASE("a call holds its slot while it waits for the next service") {
  Plan plan = TwoServices();
  plan.classes = {Caller("a", "normal", "front", 1000)};
  plan.classes[0].chain = "back";
  CHECK(BestGoodput(plan)["a"] == Approx(50));
  plan.load = 3;
  Scale(plan);
  CHECK(plan.classes[0].rate == Approx(150));
}

TEST_CASE("the same seed gives the same arrivals at the rate of the plan") {
  Plan plan = TwoServices();
  plan.classes = {Caller("a", "normal", "front", 1000)};
  plan.classes[0].profile = {{Seconds(5), 3}};
  plan.duration = Seconds(10);
  const auto arrivals = ArrivalsOf(plan);
  const auto again = ArrivalsOf(plan);
  REQUIRE(arrivals.size() == again.size());
  CHECK(arrivals.back().at == again.back().at);
  // 5 s at 1000/s and 5 s at 3000/s.
  CHECK(static_cast<double>(arrivals.size()) == Approx(20000).epsilon(0.03));
}

}  // namespace
}  // namespace yuccastair::rig
