// Admission under overload, with a simulated target and a manual clock.

#include <catch2/catch.hpp>

#include "admission_simulation.h"

namespace yuccastair::admission {
namespace {

using namespace std::chrono_literals;

// 50 slots of 20 ms.
constexpr double kCapacity = 2500;

double GoodShare(const Tally& tally) {
  return static_cast<double>(tally.good) / static_cast<double>(tally.sent);
}

// Guards against goodput that falls as the load rises.
TEST_CASE("goodput stays near the best possible under overload") {
  const double overload = GENERATE(3.0, 10.0);
  Simulation simulation{Options()};
  simulation.SetStreams({{"a", wire::IMPORTANCE_NORMAL, kCapacity * overload}});
  simulation.RunFor(3s);
  simulation.ResetTallies();
  simulation.RunFor(10s);
  CHECK(static_cast<double>(simulation.TotalGood()) >
        0.95 * simulation.BestPossible(10s));
}

// Guards against a limit that reacts to noise while there is no overload.
TEST_CASE("nothing is rejected below capacity") {
  Simulation simulation{Options()};
  simulation.SetStreams({{"a", wire::IMPORTANCE_NORMAL, kCapacity * 0.6}});
  simulation.RunFor(2s);
  simulation.ResetTallies();
  simulation.RunFor(20s);
  CHECK(GoodShare(simulation.tally(0)) > 0.999);
}

// Guards against shedding important calls while less important ones run.
TEST_CASE("the most important class is shed last") {
  const double overload = GENERATE(3.0, 10.0);
  Simulation simulation{Options()};
  simulation.SetStreams(
      {{"a", wire::IMPORTANCE_CRITICAL, kCapacity * 0.6},
       {"a", wire::IMPORTANCE_HIGH, kCapacity * 0.3},
       {"a", wire::IMPORTANCE_LOW, kCapacity * (overload - 0.9)}});
  simulation.RunFor(3s);
  simulation.ResetTallies();
  simulation.RunFor(20s);
  CHECK(GoodShare(simulation.tally(0)) > 0.999);
  CHECK(GoodShare(simulation.tally(1)) > 0.9);
  CHECK(GoodShare(simulation.tally(2)) < 0.2);
}

// Guards against low goodput because new work is started instead of finishing
// work in progress.
TEST_CASE("work in progress is shed after new work") {
  Simulation simulation{Options()};
  simulation.SetStreams({{"a", wire::IMPORTANCE_NORMAL, kCapacity * 0.5, 3},
                         {"a", wire::IMPORTANCE_NORMAL, kCapacity * 3, 1}});
  simulation.RunFor(3s);
  simulation.ResetTallies();
  simulation.RunFor(10s);
  CHECK(GoodShare(simulation.tally(0)) > 0.999);
  CHECK(GoodShare(simulation.tally(1)) < 0.3);
}

// Guards against organisations that gain the share of others by sending more.
TEST_CASE("the fair share of an organisation holds") {
  const double overload = GENERATE(3.0, 10.0);
  Simulation simulation{Options()};
  // Three organisations want a quarter each; the fourth sends the rest.
  const double quarter = kCapacity / 4;
  simulation.SetStreams({{"a", wire::IMPORTANCE_NORMAL, quarter},
                         {"b", wire::IMPORTANCE_NORMAL, quarter},
                         {"c", wire::IMPORTANCE_NORMAL, quarter},
                         {"d", wire::IMPORTANCE_NORMAL, kCapacity * overload}});
  simulation.RunFor(3s);
  simulation.ResetTallies();
  simulation.RunFor(10s);
  for (std::size_t i = 0; i < 3; ++i)
    CHECK(GoodShare(simulation.tally(i)) > 0.9);
}

// Guards against metastable overload, which outlasts its trigger.
TEST_CASE("goodput recovers within two seconds of the end of a trigger") {
  Simulation simulation{Options()};
  simulation.SetStreams({{"a", wire::IMPORTANCE_NORMAL, kCapacity * 0.8}});
  simulation.RunFor(5s);
  SECTION("a surge") {
    simulation.SetStreams({{"a", wire::IMPORTANCE_NORMAL, kCapacity * 10}});
    simulation.RunFor(10s);
  }
  SECTION("slower service") {
    simulation.target().service_time = 60ms;
    simulation.RunFor(10s);
    simulation.target().service_time = 20ms;
  }
  SECTION("service so slow that calls time out") {
    simulation.target().service_time = 800ms;
    simulation.RunFor(10s);
    simulation.target().service_time = 20ms;
  }
  simulation.SetStreams({{"a", wire::IMPORTANCE_NORMAL, kCapacity * 0.8}});
  simulation.RunFor(2s);
  simulation.ResetTallies();
  simulation.RunFor(5s);
  CHECK(GoodShare(simulation.tally(0)) > 0.95);
}

// Guards against a limit that mistakes a longer service time for queueing.
TEST_CASE("the limit follows a change of the service time") {
  Simulation simulation{Options()};
  simulation.SetStreams({{"a", wire::IMPORTANCE_NORMAL, kCapacity * 3}});
  simulation.RunFor(5s);
  simulation.target().service_time = 60ms;
  simulation.RunFor(2s);
  simulation.ResetTallies();
  simulation.RunFor(10s);
  CHECK(static_cast<double>(simulation.TotalGood()) >
        0.95 * simulation.BestPossible(10s));
}

// Guards against a limit that stays at its minimum after failures.
TEST_CASE("failures do not lower the limit permanently") {
  Simulation simulation{Options()};
  simulation.SetStreams({{"a", wire::IMPORTANCE_NORMAL, kCapacity * 0.8}});
  simulation.RunFor(5s);
  for (int i = 0; i < 5; ++i) {
    simulation.Crash();
    simulation.RunFor(200ms);
  }
  simulation.RunFor(20s);
  simulation.ResetTallies();
  simulation.RunFor(5s);
  CHECK(GoodShare(simulation.tally(0)) > 0.99);
}

// Guards against full load on a cold target, which would fail under it.
TEST_CASE("the load of a target that became cold rises gradually") {
  Options options;
  options.cold = {.initial_limit = 4, .ramp = 3000ms};
  Simulation simulation{options};
  simulation.SetStreams({{"a", wire::IMPORTANCE_NORMAL, kCapacity * 3}});
  simulation.RunFor(5s);
  simulation.target().cold_slots = 8;
  SECTION("with an announcement") {
    simulation.Crash();
    Admission::Decisions decisions;
    simulation.admission().SetTarget(wire::TARGET_STATE_COLD, "2", decisions);
    simulation.Apply(decisions);
  }
  SECTION("without warning") {
    simulation.Crash();
  }
  simulation.ResetPeak();
  simulation.RunFor(500ms);
  CHECK(simulation.peak_at_target() <= 8);
  simulation.target().cold_slots = 1000000;
  simulation.RunFor(5s);
  simulation.ResetTallies();
  simulation.RunFor(5s);
  CHECK(static_cast<double>(simulation.TotalGood()) >
        0.95 * simulation.BestPossible(5s));
}

}  // namespace
}  // namespace yuccastair::admission
