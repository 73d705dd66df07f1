// No window exceeds burst + rate * T under random faults of nodes, leaders and
// messages.

#include <catch2/catch.hpp>

#include "fleet_simulation.h"

namespace yuccastair::rates {
namespace {

constexpr double kRoundingTolerance = 1e-6;

// Simulates one random run, checks its windows, and returns whether any token
// was spent.
bool RunWithSeed(unsigned seed) {
  std::mt19937 choice(seed);
  const auto random_int = [&](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(choice);
  };
  const RateLimit limit{static_cast<double>(random_int(1, 300)),
                        static_cast<double>(random_int(1, 200))};
  FleetSimulation fleet(seed, random_int(1, 12), limit);
  fleet.network = {
      .loss = random_int(0, 3) * 0.1,
      .duplication = random_int(0, 3) * 0.1,
      .min_delay_ms = 1,
      .max_delay_ms = random_int(0, 3) == 0 ? 4000 : random_int(1, 200)};
  // Requests per millisecond and fault rates.
  const double load = limit.rate * random_int(5, 40) / 10000.0;
  const double restart = random_int(0, 2) * 0.001;
  const double isolation = random_int(0, 2) * 0.001;
  const double change = random_int(0, 2) * 0.0003;
  const int last = static_cast<int>(fleet.node_count()) - 1;
  // In half of the runs the nodes take turns in getting all requests, so that
  // idle nodes hold tokens.
  const bool take_turns = random_int(0, 1) == 0;
  const int turn_ms = random_int(200, 6000);
  fleet.Run(12000, [&](int t) {
    for (double left = load; left > 0; left -= 1) {
      if (fleet.Chance(left))
        fleet.Request(take_turns ? t / turn_ms % (last + 1)
                                 : fleet.Random(0, last));
    }
    // A burst of requests to all nodes every 4 s.
    if (t % 4000 == 3999) {
      for (int i = 0; i < static_cast<int>(limit.burst) * 2; ++i)
        fleet.Request(fleet.Random(0, last));
    }
    if (fleet.Chance(restart))
      fleet.StartNode(fleet.Random(0, last));
    if (fleet.Chance(isolation))
      fleet.Isolate(fleet.Random(0, last), fleet.Chance(0.5));
    if (fleet.Chance(isolation))
      fleet.Stall(fleet.Random(0, last), fleet.Chance(0.5));
    if (fleet.Chance(change))
      fleet.ChangeLeader();
  });
  INFO("seed " << seed << " rate " << limit.rate << " burst " << limit.burst
               << " nodes " << fleet.node_count());
  CHECK(fleet.MaxExcess(limit) <= kRoundingTolerance);
  return !fleet.spend_times.empty();
}

TEST_CASE("no window exceeds rate and burst in random runs") {
  constexpr unsigned kSeeds = 300;
  unsigned spending_runs = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed)
    spending_runs += RunWithSeed(seed) ? 1 : 0;
  // A run in which messages take seconds may grant no token in time.
  CHECK(spending_runs > kSeeds * 7 / 10);
}

}  // namespace
}  // namespace yuccastair::rates
