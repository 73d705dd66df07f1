// Runs a simulated cluster under random faults, one run for each seed.

#ifndef YUCCASTAIR_UNITTESTS_CONSENSUS_EXPLORATION_H_
#define YUCCASTAIR_UNITTESTS_CONSENSUS_EXPLORATION_H_

#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <string>

#include "cluster_sim.h"

namespace yuccastair::consensus {

inline constexpr milliseconds kFaultInjectionTime{30000};
// Simulated time, so that the limit does not depend on the instance's speed.
inline constexpr milliseconds kConvergenceLimit{60000};

/// Returns options with which a few dozen commands cause snapshots, transfers
/// in chunks and appends of single entries.
inline CoreOptions SmallLimitOptions() {
  CoreOptions options;
  options.snapshot_threshold_entries = 40;
  options.retained_entries = 5;
  options.snapshot_chunk_bytes = 40;
  options.max_append_bytes = 30;
  return options;
}

/// Injects one random fault at process \p i, or heals the network. \p
/// with_replacements includes the move of a process to another address.
inline void InjectFault(ClusterSim& sim, int i, bool with_replacements) {
  ClusterSim::Process& process = sim.at(i);
  switch (sim.RandomBelow(with_replacements ? 9 : 8)) {
    case 0:
      if (process.core)
        sim.CrashProcess(i, milliseconds(sim.RandomBelow(3000)));
      break;
    case 1:
      process.operations_until_crash = sim.RandomBelow(20);
      break;
    case 2:
      process.paused_until = sim.now() + milliseconds(sim.RandomBelow(4000));
      break;
    case 3:
      sim.Isolate(i, true);
      break;
    case 4:
      sim.SetLinkCut(i, (i + 1) % sim.size(), true);
      break;
    case 5:
      sim.message_fault_percent = sim.RandomBelow(30);
      break;
    case 6:
      if (sim.IsComplete())
        sim.WipeDisk(i, milliseconds(sim.RandomBelow(3000)));
      break;
    case 7:
      sim.HealNetwork();
      break;
    default:
      if (sim.IsComplete())
        sim.ReplaceProcess(i, milliseconds(sim.RandomBelow(3000)));
  }
}

/// Returns whether the leader can commit one more command.
inline bool CommitsOneCommand(ClusterSim& sim) {
  const std::size_t before = sim.history().acknowledged.back().second;
  sim.Propose(sim.Leader());
  return sim.RunUntil(kConvergenceLimit, [&] {
    return sim.history().acknowledged.back().second > before;
  });
}

/// Injects faults into a cluster, and checks that it converges and commits
/// afterwards. The simulation checks every step.
inline void ExploreFaults(ClusterSim& sim, bool with_replacements) {
  sim.message_fault_percent = sim.RandomBelow(20);
  while (sim.now() < kFaultInjectionTime) {
    if (sim.RandomBelow(60) == 0)
      InjectFault(sim, sim.RandomBelow(sim.size()), with_replacements);
    if (sim.RandomBelow(4) == 0)
      sim.Propose(sim.RandomBelow(sim.size()));
    sim.Step();
  }
  sim.HealNetwork();
  sim.message_fault_percent = 0;
  for (int i = 0; i < sim.size(); ++i)
    sim.at(i).operations_until_crash = -1;
  RequireProperty(
      sim.RunUntil(kConvergenceLimit, [&] { return sim.Converged(); }),
      "the processes do not converge after the faults have ended");
  RequireProperty(CommitsOneCommand(sim),
                  "nothing can be committed after the faults have ended");
}

/// Runs \p explore for seeds 1 to \p count. YUCCASTAIR_SEED runs one seed;
/// YUCCASTAIR_SEEDS sets how many are run.
inline void ExploreSeeds(int count,
                         const std::string& program,
                         const std::function<void(std::uint64_t)>& explore) {
  std::uint64_t first = 1;
  auto last = static_cast<std::uint64_t>(count);
  if (const char* seeds = std::getenv("YUCCASTAIR_SEEDS"))
    last = std::stoull(seeds);
  if (const char* seed = std::getenv("YUCCASTAIR_SEED"))
    first = last = std::stoull(seed);
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    try {
      explore(seed);
    } catch (const SafetyViolation& violation) {
      FAIL("seed " << seed << ": " << violation.what()
                   << "\nrun again with YUCCASTAIR_SEED=" << seed
                   << " build/unittests/" << program);
    }
  }
}

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_UNITTESTS_CONSENSUS_EXPLORATION_H_
