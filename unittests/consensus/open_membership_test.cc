// Clusters whose processes know three seeds and nothing of the others: how they
// form, grow, and replace what is lost.
//
// YUCCASTAIR_SEED runs one seed; YUCCASTAIR_SEEDS sets how many are run.

#include <catch2/catch.hpp>
#include <cstdlib>

#include "cluster_sim.h"

namespace yuccastair::consensus {
namespace {

constexpr int kProcesses = 5;
constexpr int kDefaultSeeds = 100;
constexpr milliseconds kLimit{60000};
constexpr milliseconds kDisturbedTime{30000};

CoreOptions OpenOptions() {
  CoreOptions options;
  options.open_membership = true;
  options.snapshot_entries = 40;
  options.retained_entries = 5;
  options.snapshot_chunk_bytes = 40;
  options.max_append_bytes = 30;
  return options;
}

bool Commits(ClusterSim& sim) {
  const std::size_t before = sim.history().acknowledged.back().second;
  sim.Propose(sim.Leader());
  return sim.RunUntil(kLimit, [&] {
    return sim.history().acknowledged.back().second > before;
  });
}

// Guards against a cluster that stays with its three seeds and so bears only
// one loss.
TEST_CASE("processes that no seed list names become voters") {
  ClusterSim sim(1, kProcesses, OpenOptions());
  REQUIRE(sim.RunUntil(kLimit, [&] { return sim.Converged(); }));
  CHECK(sim.at(sim.Leader()).core->status().config.members_size() ==
        kProcesses);
}

// Guards against a voter at an address that is gone for good: the next two
// losses would cost the majority.
TEST_CASE("a process at a new address replaces the one that is gone") {
  ClusterSim sim(2, kProcesses, OpenOptions());
  REQUIRE(sim.RunUntil(kLimit, [&] { return sim.Converged(); }));
  for (int i = 0; i < kProcesses; ++i) {
    CAPTURE(i);
    sim.Replace(i, milliseconds(1000));
    REQUIRE(sim.RunUntil(kLimit, [&] { return sim.Converged(); }));
    CHECK(sim.at(sim.Leader()).core->status().config.members_size() ==
          kProcesses);
  }
  CHECK(Commits(sim));
}

// Guards against a second cluster: after all seeds have lost their disks, the
// acknowledged state is at the others alone, and a new cluster would hide that.
TEST_CASE("seeds that lost their disks do not form another cluster") {
  ClusterSim sim(3, kProcesses, OpenOptions());
  REQUIRE(sim.RunUntil(kLimit, [&] { return sim.Converged(); }));
  const std::string cluster = sim.at(0).core->status().config.cluster_id();
  for (int i = 0; i < ClusterSim::kSeeds; ++i)
    sim.Wipe(i, milliseconds(100));
  sim.RunUntil(milliseconds(10000), [] { return false; });
  for (int i = 0; i < ClusterSim::kSeeds; ++i) {
    const std::string now = sim.at(i).core->status().config.cluster_id();
    CHECK((now.empty() || now == cluster));
  }
}

// Guards against a voter that was removed while it was cut off and never
// greeted anybody afterwards, because its own log still called it a voter.
TEST_CASE("a removed voter that comes back is taken in again") {
  ClusterSim sim(4, kProcesses - 1, OpenOptions());
  REQUIRE(sim.RunUntil(kLimit, [&] { return sim.Converged(); }));
  const int cut = (sim.Leader() + 1) % sim.size();
  sim.Isolate(cut, true);
  REQUIRE(sim.RunUntil(kLimit, [&] {
    const int leader = sim.Leader();
    return leader >= 0 &&
           sim.at(leader).core->status().config.members_size() == 3;
  }));
  sim.HealAll();
  CHECK(sim.RunUntil(kLimit, [&] { return sim.Converged(); }));
}

void Disturb(ClusterSim& sim, int i) {
  ClusterSim::Process& process = sim.at(i);
  switch (sim.Below(9)) {
    case 0:
      if (process.core)
        sim.CrashProcess(i, milliseconds(sim.Below(3000)));
      break;
    case 1:
      process.crash_after = sim.Below(20);
      break;
    case 2:
      process.paused_until = sim.now() + milliseconds(sim.Below(4000));
      break;
    case 3:
      sim.Isolate(i, true);
      break;
    case 4:
      sim.Cut(i, (i + 1) % sim.size(), true);
      break;
    case 5:
      sim.disturbance = sim.Below(30);
      break;
    case 6:
      if (sim.IsComplete())
        sim.Wipe(i, milliseconds(sim.Below(3000)));
      break;
    case 7:
      if (sim.IsComplete())
        sim.Replace(i, milliseconds(sim.Below(3000)));
      break;
    default:
      sim.HealAll();
  }
}

void Explore(std::uint64_t seed) {
  ClusterSim sim(seed, kProcesses, OpenOptions());
  // The first start of all is undisturbed; later ones are not.
  Require(sim.RunUntil(kLimit, [&] { return sim.Converged(); }),
          "no cluster was formed");
  sim.disturbance = sim.Below(20);
  while (sim.now() < kDisturbedTime) {
    if (sim.Below(60) == 0)
      Disturb(sim, sim.Below(sim.size()));
    if (sim.Below(4) == 0)
      sim.Propose(sim.Below(sim.size()));
    sim.Step();
  }
  sim.HealAll();
  sim.disturbance = 0;
  for (int i = 0; i < sim.size(); ++i)
    sim.at(i).crash_after = -1;
  Require(sim.RunUntil(kLimit, [&] { return sim.Converged(); }),
          "the processes do not agree after the disturbance has ended");
  Require(Commits(sim), "nothing can be committed any more");
}

TEST_CASE("no seed of an open cluster leads to a loss or a stale read") {
  std::uint64_t first = 1;
  std::uint64_t last = kDefaultSeeds;
  if (const char* count = std::getenv("YUCCASTAIR_SEEDS"))
    last = std::stoull(count);
  if (const char* seed = std::getenv("YUCCASTAIR_SEED"))
    first = last = std::stoull(seed);
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    try {
      Explore(seed);
    } catch (const Violation& violation) {
      FAIL("seed " << seed << ": " << violation.what()
                   << "\nrun again with YUCCASTAIR_SEED=" << seed
                   << " build/unittests/consensus_open_membership_test");
    }
  }
}

}  // namespace
}  // namespace yuccastair::consensus
