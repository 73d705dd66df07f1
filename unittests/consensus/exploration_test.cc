// Explores the log under random message delays, losses, partitions, pauses,
// crashes that lose unsynced data, and lost data directories. Guards against
// two leaders in a term, lost or changed entries, and stale reads.
//
// YUCCASTAIR_SEED runs one seed; YUCCASTAIR_SEEDS sets how many are run.

#include "exploration.h"

namespace yuccastair::consensus {
namespace {

constexpr int kDefaultSeedCount = 150;

void Explore(std::uint64_t seed) {
  ClusterSim sim(seed, seed % 4 == 0 ? 5 : 3, SmallLimitOptions());
  ExploreFaults(sim, false);
}

// Guards against a learner that stops sending hellos although another leader
// replaced the entry that added it.
TEST_CASE("a learner whose entry was replaced is added again") {
  REQUIRE_NOTHROW(Explore(4764));
}

TEST_CASE("no seed leads to a loss, a change or a stale read") {
  ExploreSeeds(kDefaultSeedCount, "consensus_exploration_test", Explore);
}

}  // namespace
}  // namespace yuccastair::consensus
