// Clusters whose processes are configured with three seed addresses only: how
// they form, grow, and replace lost processes.
//
// YUCCASTAIR_SEED runs one seed; YUCCASTAIR_SEEDS sets how many are run.

#include "exploration.h"

namespace yuccastair::consensus {
namespace {

constexpr int kProcessCount = 5;
constexpr int kDefaultSeedCount = 100;

CoreOptions OpenOptions() {
  CoreOptions options = SmallLimitOptions();
  options.open_membership = true;
  return options;
}

// Guards against a cluster whose only voters are its three seeds, which
// tolerates only one failure.
TEST_CASE("processes outside the seed list become voters") {
  ClusterSim sim(1, kProcessCount, OpenOptions());
  REQUIRE(sim.RunUntil(kConvergenceLimit, [&] { return sim.Converged(); }));
  CHECK(sim.at(sim.Leader()).core->status().config.members_size() ==
        kProcessCount);
}

// Guards against a voter that remains at an address that no process uses any
// more: the next two losses would cost the majority.
TEST_CASE("a process at a new address replaces the lost one") {
  ClusterSim sim(2, kProcessCount, OpenOptions());
  REQUIRE(sim.RunUntil(kConvergenceLimit, [&] { return sim.Converged(); }));
  for (int i = 0; i < kProcessCount; ++i) {
    CAPTURE(i);
    sim.ReplaceProcess(i, milliseconds(1000));
    REQUIRE(sim.RunUntil(kConvergenceLimit, [&] { return sim.Converged(); }));
    CHECK(sim.at(sim.Leader()).core->status().config.members_size() ==
          kProcessCount);
  }
  CHECK(CommitsOneCommand(sim));
}

// Guards against a second cluster. After all seeds have lost their disks, only
// the other processes hold the acknowledged state, and a new cluster would hide
// that.
TEST_CASE("seeds that lost their disks do not form another cluster") {
  ClusterSim sim(3, kProcessCount, OpenOptions());
  REQUIRE(sim.RunUntil(kConvergenceLimit, [&] { return sim.Converged(); }));
  const std::string cluster = sim.at(0).core->status().config.cluster_id();
  for (int i = 0; i < ClusterSim::kSeedCount; ++i)
    sim.WipeDisk(i, milliseconds(100));
  sim.RunUntil(milliseconds(10000), [] { return false; });
  for (int i = 0; i < ClusterSim::kSeedCount; ++i) {
    const std::string now = sim.at(i).core->status().config.cluster_id();
    CHECK((now.empty() || now == cluster));
  }
}

// Guards against a voter that was removed while it was cut off and sends no
// hellos afterwards, because it is still a voter in its own log.
TEST_CASE("a removed voter that reconnects is added again") {
  ClusterSim sim(4, kProcessCount - 1, OpenOptions());
  REQUIRE(sim.RunUntil(kConvergenceLimit, [&] { return sim.Converged(); }));
  const int cut = (sim.Leader() + 1) % sim.size();
  sim.Isolate(cut, true);
  REQUIRE(sim.RunUntil(kConvergenceLimit, [&] {
    const int leader = sim.Leader();
    return leader >= 0 &&
           sim.at(leader).core->status().config.members_size() == 3;
  }));
  sim.HealNetwork();
  CHECK(sim.RunUntil(kConvergenceLimit, [&] { return sim.Converged(); }));
}

void Explore(std::uint64_t seed) {
  ClusterSim sim(seed, kProcessCount, OpenOptions());
  // The first start is free of faults; later ones are not.
  RequireProperty(
      sim.RunUntil(kConvergenceLimit, [&] { return sim.Converged(); }),
      "no cluster was formed");
  ExploreFaults(sim, true);
}

TEST_CASE("no seed of an open cluster leads to a loss or a stale read") {
  ExploreSeeds(kDefaultSeedCount, "consensus_open_membership_test", Explore);
}

}  // namespace
}  // namespace yuccastair::consensus
