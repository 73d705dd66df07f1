// Overload of a downstream service that loses most of its targets while two
// layers of services call it.

#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>

#include "chain_scenario.h"

namespace yuccastair::admission {
namespace {

using namespace std::chrono_literals;

/// Returns the fraction of the deep service's capacity that served requests
/// have used.
double DeepGoodput(const ChainSimulation& simulation,
                   std::size_t targets,
                   std::chrono::seconds time) {
  const double lookups =
      kLookupsPerRequest *
          static_cast<double>(simulation.tally(kReport).served +
                              simulation.tally(kOrder).served) +
      static_cast<double>(simulation.tally(kView).served) * (48.0 / 30.0);
  return lookups /
         (LookupCapacity(targets) * static_cast<double>(time.count()));
}

/// Leaves \p targets of the deep service in use for 20 s, then all of them.
void SimulateShortage(ChainSimulation& simulation, std::size_t targets) {
  simulation.RunFor(5s);
  simulation.SetTargetsUp(kDeep, targets);
  simulation.RunFor(20s);
  simulation.SetTargetsUp(kDeep, kDeepTargets);
}

/// Simulates 5 s and checks that nearly all requests are served.
void CheckNearlyAllServed(ChainSimulation& simulation) {
  simulation.ResetTallies();
  simulation.RunFor(5s);
  const ChainTally& report = simulation.tally(kReport);
  const ChainTally& order = simulation.tally(kOrder);
  CAPTURE(report.sent, report.served, order.sent, order.served);
  CHECK(Share(report.served, report.sent) > 0.95);
  CHECK(Share(order.served, order.sent) > 0.95);
}

// Guards against a deep service whose capacity is used by requests that lose a
// later call: few requests are served though all slots are busy.
TEST_CASE("requests that have begun their calls finish them under overload") {
  const std::size_t targets = GENERATE(std::size_t{2}, std::size_t{1});
  const auto seed = GENERATE(std::uint64_t{1}, std::uint64_t{2});
  ChainSimulation simulation = MakeSimulation(seed);
  RunWithReducedTargets(simulation, targets, 20s);
  const double goodput = DeepGoodput(simulation, targets, 20s);
  CAPTURE(targets, seed, goodput);
  CHECK(goodput > 0.9);
}

// Guards against requests that are started although the service they call
// cannot respond, while its targets are still believed to be in service.
TEST_CASE("hardly any request is started while the deep service is down") {
  ChainSimulation simulation = MakeSimulation(1);
  simulation.HideTargets();
  RunWithReducedTargets(simulation, 0, 20s);
  const ChainTally& report = simulation.tally(kReport);
  const ChainTally& order = simulation.tally(kOrder);
  CAPTURE(report.sent, report.refused, report.failed, order.sent, order.refused,
          order.failed);
  CHECK(Share(report.failed, report.sent) < 0.05);
  CHECK(Share(order.failed, order.sent) < 0.1);
}

// Guards against a recovery time that grows as each target gets fewer requests.
TEST_CASE("requests are served two seconds after the deep service's return") {
  const std::size_t targets = GENERATE(std::size_t{2}, std::size_t{1});
  const std::size_t front_targets = GENERATE(std::size_t{6}, std::size_t{24});
  ChainSimulation simulation = MakeSimulation(1, front_targets);
  SimulateShortage(simulation, targets);
  simulation.RunFor(2s);
  CheckNearlyAllServed(simulation);
}

// Guards against requests that are still throttled long after an outage.
TEST_CASE("requests are served four seconds after the end of an outage") {
  const std::size_t front_targets = GENERATE(std::size_t{6}, std::size_t{24});
  ChainSimulation simulation = MakeSimulation(1, front_targets);
  simulation.HideTargets();
  SimulateShortage(simulation, 0);
  simulation.RunFor(4s);
  CheckNearlyAllServed(simulation);
}

// Guards against requests that are started although their relay knows that a
// service they need has no target.
TEST_CASE("one request in a hundred is started while no target is in service") {
  const std::size_t front_targets = GENERATE(std::size_t{6}, std::size_t{24});
  ChainSimulation simulation = MakeSimulation(1, front_targets);
  RunWithReducedTargets(simulation, 0, 20s);
  const ChainTally& report = simulation.tally(kReport);
  const ChainTally& order = simulation.tally(kOrder);
  CAPTURE(front_targets, report.sent, report.failed, order.sent, order.failed);
  CHECK(Share(report.failed + order.failed, report.sent + order.sent) < 0.01);
}

// Guards against requests that are still throttled when a service has targets
// again, because only trial requests detect its return.
TEST_CASE("requests are served a second after a service has targets again") {
  const std::size_t front_targets = GENERATE(std::size_t{6}, std::size_t{24});
  ChainSimulation simulation = MakeSimulation(1, front_targets);
  SimulateShortage(simulation, 0);
  simulation.RunFor(1s);
  CheckNearlyAllServed(simulation);
}

}  // namespace
}  // namespace yuccastair::admission
