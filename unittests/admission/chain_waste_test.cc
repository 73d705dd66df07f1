// Requests that are started and fail because a downstream service lacks
// capacity.

#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "chain_scenario.h"

namespace yuccastair::admission {
namespace {

using namespace std::chrono_literals;

std::uint64_t Started(const ChainTally& tally) {
  return tally.served + tally.failed;
}

// Guards against targets that work on requests whose calls will be rejected.
TEST_CASE("few of the requests that are started fail under overload") {
  const std::size_t targets = GENERATE(std::size_t{2}, std::size_t{1});
  const auto seed = GENERATE(std::uint64_t{1}, std::uint64_t{2});
  ChainSimulation simulation = MakeSimulation(seed);
  RunWithReducedTargets(simulation, targets, 20s);
  const ChainTally& report = simulation.tally(kReport);
  const ChainTally& order = simulation.tally(kOrder);
  CAPTURE(targets, seed, report.sent, report.served, report.refused,
          report.failed, order.sent, order.served, order.refused, order.failed,
          simulation.tally(kView).sent, simulation.tally(kView).served);
  CHECK(Share(report.failed + order.failed, Started(report) + Started(order)) <
        0.1);
}

}  // namespace
}  // namespace yuccastair::admission
