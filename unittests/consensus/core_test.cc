// Behaviours of the log core, one at a time, in a cluster without random
// faults.

#include "yuccastair/consensus/core.h"

#include <catch2/catch.hpp>

#include "cluster_sim.h"

namespace yuccastair::consensus {
namespace {

constexpr milliseconds kSimulatedTimeLimit{20000};

/// Runs a cluster until it has elected its first leader, and returns the
/// leader.
int ElectLeader(ClusterSim& sim) {
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] { return sim.Converged(); }));
  return sim.Leader();
}

void CommitOneCommand(ClusterSim& sim, int leader) {
  const std::size_t before = sim.history().acknowledged.back().second;
  sim.Propose(leader);
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] {
    return sim.history().acknowledged.back().second > before;
  }));
}

// Guards against stale reads from a leader that is cut off.
TEST_CASE("an isolated leader loses its lease before another is elected") {
  ClusterSim sim(1, 3, {});
  const int leader = ElectLeader(sim);
  sim.Isolate(leader, true);
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] {
    return !sim.at(leader).core->IsCurrentLeader();
  }));
  CHECK(sim.Leader() == -1);
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] { return sim.Leader() >= 0; }));
  CHECK(sim.Leader() != leader);
  CHECK(sim.at(leader).core->status().role != Role::kLeader);
  CommitOneCommand(sim, sim.Leader());
}

// Guards against a stale read from a leader that was paused: until it receives
// a message it does not know that another leader was elected.
TEST_CASE("a paused leader is not current when it continues") {
  ClusterSim sim(14, 3, {});
  const int leader = ElectLeader(sim);
  sim.at(leader).paused_until = sim.now() + milliseconds(5000);
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] {
    const int other = sim.Leader();
    return other >= 0 && other != leader;
  }));
  CHECK(sim.at(leader).core->status().role == Role::kLeader);
  CHECK_FALSE(sim.at(leader).core->IsCurrentLeader());
  CommitOneCommand(sim, sim.Leader());
}

// Guards against a process that disrupts a working leader after a partition.
TEST_CASE("pre-vote keeps the term while a process is cut off") {
  ClusterSim sim(2, 3, {});
  const int leader = ElectLeader(sim);
  const std::uint64_t term = sim.at(leader).core->status().term;
  const int cut_off = (leader + 1) % 3;
  sim.Isolate(cut_off, true);
  const milliseconds end = sim.now() + milliseconds(10000);
  sim.RunUntil(kSimulatedTimeLimit, [&] { return sim.now() >= end; });
  CHECK(sim.at(cut_off).core->status().term == term);
  sim.HealNetwork();
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] { return sim.Converged(); }));
  CHECK(sim.Leader() == leader);
  CHECK(sim.at(leader).core->status().term == term);
}

// Guards against an election while the others still receive from the leader,
// which would violate its lease.
TEST_CASE("a process that only misses the leader wins no election") {
  ClusterSim sim(11, 3, {});
  const int leader = ElectLeader(sim);
  const std::uint64_t term = sim.at(leader).core->status().term;
  sim.SetLinkCut(leader, (leader + 1) % 3, true);
  const milliseconds end = sim.now() + milliseconds(10000);
  sim.RunUntil(kSimulatedTimeLimit, [&] { return sim.now() >= end; });
  CHECK(sim.Leader() == leader);
  CHECK(sim.at(leader).core->status().term == term);
}

// Guards against followers that never report fresh state, or that report it
// while they are cut off.
TEST_CASE("a follower is current while connected, and ages when cut off") {
  ClusterSim sim(3, 3, {});
  const int follower = (ElectLeader(sim) + 1) % 3;
  const auto age = [&] {
    return sim.at(follower).clock->Now() - sim.at(follower).core->CurrentAsOf();
  };
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit,
                       [&] { return age() < milliseconds(300); }));
  sim.Isolate(follower, true);
  const auto as_of = sim.at(follower).core->CurrentAsOf();
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit,
                       [&] { return age() > milliseconds(3000); }));
  CHECK(sim.at(follower).core->CurrentAsOf() - as_of < milliseconds(300));
}

// Guards against proposals that are lost at a process that cannot append them.
TEST_CASE("a follower returns proposals and names the leader") {
  ClusterSim sim(4, 3, {});
  const int leader = ElectLeader(sim);
  Core& follower = *sim.at((leader + 1) % 3).core;
  ProposeStatus status = ProposeStatus::kCommitted;
  follower.Propose("x", [&](const ProposeOutcome& o) { status = o.status; });
  CHECK(status == ProposeStatus::kNotLeader);
  CHECK(follower.LeaderAddress() == sim.at(leader).address);
}

// Guards against callers that wait forever when leadership is lost.
TEST_CASE("appended proposals end as uncertain when leadership is lost") {
  ClusterSim sim(5, 3, {});
  const int leader = ElectLeader(sim);
  sim.Isolate(leader, true);
  ProposeStatus status = ProposeStatus::kCommitted;
  int calls = 0;
  sim.at(leader).core->Propose("x", [&](const ProposeOutcome& outcome) {
    status = outcome.status;
    ++calls;
  });
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] { return calls > 0; }));
  CHECK(status == ProposeStatus::kUncertain);
  CHECK(calls == 1);
}

// Guards against unbounded memory growth while no majority replies.
TEST_CASE("proposals beyond the bounds are not appended") {
  CoreOptions options;
  options.max_pending_proposals = 3;
  ClusterSim sim(12, 3, options);
  Core& core = *sim.at(ElectLeader(sim)).core;
  int returned = 0;
  for (int i = 0; i < 5; ++i) {
    core.Propose("x", [&](const ProposeOutcome& outcome) {
      returned += outcome.status == ProposeStatus::kNotLeader ? 1 : 0;
    });
  }
  CHECK(returned == 2);
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit,
                       [&] { return sim.history().applied.size() == 3; }));
  core.Propose("x", [&](const ProposeOutcome&) { returned = 0; });
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] { return returned == 0; }));
}

// Guards against one sync per proposal, which would limit the throughput by the
// disk latency.
TEST_CASE("proposals between two flushes share one sync") {
  ClusterSim sim(6, 3, {});
  const int leader = ElectLeader(sim);
  ClusterSim::Process& process = sim.at(leader);
  int syncs = 0;
  process.files.before_operation = [&](const std::string& operation,
                                       const std::string&) {
    syncs += operation == "sync" ? 1 : 0;
  };
  for (int i = 0; i < 100; ++i)
    sim.Propose(leader);
  process.core->Flush();
  CHECK(syncs == 1);
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] {
    return sim.history().acknowledged.back().second == 100;
  }));
}

// Guards against a process that votes under the identity of its lost disk.
TEST_CASE("a process without its data is replaced by a new member") {
  ClusterSim sim(7, 3, {});
  const int leader = ElectLeader(sim);
  CommitOneCommand(sim, leader);
  const int lost = (leader + 1) % 3;
  const std::string old_identity = sim.at(lost).storage->Identity();
  sim.WipeDisk(lost, milliseconds(100));
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] { return sim.Converged(); }));
  CHECK(sim.at(lost).storage->Identity() != old_identity);
  CHECK(sim.at(lost).machine->count() == 1);
}

// Guards against a voter whose log lacks committed entries. Until it has them,
// the loss of one more process would block commits or lose the entries.
TEST_CASE("a learner is promoted only once it has all committed entries") {
  CoreOptions options;
  options.snapshot_threshold_entries = 20;
  options.retained_entries = 3;
  options.snapshot_chunk_bytes = 4;
  ClusterSim sim(13, 3, options);
  const int leader = ElectLeader(sim);
  for (int i = 0; i < 30; ++i)
    CommitOneCommand(sim, leader);
  const std::uint64_t committed = sim.at(leader).core->status().commit_index;
  const int lost = (leader + 1) % 3;
  sim.WipeDisk(lost, milliseconds(100));
  const auto promoted = [&] {
    const CoreStatus status = sim.at(leader).core->status();
    for (const auto& member : status.config.members()) {
      if (sim.at(lost).core && !member.learner() &&
          member.identity() == sim.at(lost).storage->Identity())
        return true;
    }
    return false;
  };
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, promoted));
  CHECK(sim.at(lost).core->status().last_index >= committed);
}

// Guards against followers that never catch up once the log is compacted, and
// against a snapshot transfer in one message of unbounded size.
TEST_CASE("a follower far behind receives a snapshot in chunks") {
  CoreOptions options;
  options.snapshot_threshold_entries = 20;
  options.retained_entries = 3;
  options.snapshot_chunk_bytes = 16;
  ClusterSim sim(8, 3, options);
  const int leader = ElectLeader(sim);
  const int behind = (leader + 1) % 3;
  sim.Isolate(behind, true);
  for (int i = 0; i < 50; ++i)
    CommitOneCommand(sim, leader);
  sim.HealNetwork();
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] { return sim.Converged(); }));
  CHECK(sim.at(behind).core->status().snapshot_index > 0);
}

// Guards against an election by a removed process.
TEST_CASE("a removed member no longer counts and cannot lead") {
  ClusterSim sim(9, 5, {});
  const int leader = ElectLeader(sim);
  const int removed = (leader + 1) % 5;
  const std::string identity = sim.at(removed).storage->Identity();
  REQUIRE(sim.at(leader).core->RemoveMember(identity));
  // A second change has to wait for the first one.
  CHECK_FALSE(sim.at(leader).core->RemoveMember(
      sim.at((leader + 2) % 5).storage->Identity()));
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] {
    const CoreStatus status = sim.at(leader).core->status();
    return status.config.members_size() == 4 &&
           status.commit_index == status.last_index;
  }));
  // Three of five processes are connected, but only two of the four members.
  const int other = (leader + 2) % 5;
  for (const int cut_off : {(leader + 3) % 5, (leader + 4) % 5})
    sim.Isolate(cut_off, true);
  const std::size_t applied = sim.history().applied.size();
  sim.Propose(leader);
  const milliseconds end = sim.now() + milliseconds(10000);
  CHECK_FALSE(sim.RunUntil(milliseconds(10000), [&] {
    return sim.history().applied.size() > applied ||
           sim.at(removed).core->status().role == Role::kLeader;
  }));
  CHECK(sim.now() >= end);
  for (const int process : {leader, other, removed})
    CHECK_FALSE(sim.at(process).core->IsCurrentLeader());
  sim.HealNetwork();
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] { return sim.Leader() >= 0; }));
  CommitOneCommand(sim, sim.Leader());
}

// Guards against lost state when all processes fail at once.
TEST_CASE("all processes crash and restart with all committed commands") {
  ClusterSim sim(10, 3, {});
  const int leader = ElectLeader(sim);
  for (int i = 0; i < 5; ++i)
    CommitOneCommand(sim, leader);
  for (int i = 0; i < 3; ++i)
    sim.CrashProcess(i, milliseconds(10));
  REQUIRE(sim.RunUntil(kSimulatedTimeLimit, [&] {
    return sim.Converged() && sim.at(0).machine->count() == 5;
  }));
}

}  // namespace
}  // namespace yuccastair::consensus
