// Three real control processes: elections, silent leaders, lost disks and
// restarts. Guards against faults between the log core, the transport, the
// process and the file system, which the simulated tests cannot show.

#include <catch2/catch.hpp>

#include "control_cluster.h"

namespace yuccastair {
namespace {

TEST_CASE("killing the leader loses no committed command") {
  ControlCluster cluster(3, 25000);
  for (int i = 0; i < 10; ++i)
    REQUIRE(cluster.Commit("before " + std::to_string(i)));
  const int old_leader = cluster.WaitForLeader();
  REQUIRE(old_leader >= 0);
  cluster.Kill(old_leader);
  REQUIRE(cluster.Commit("after", old_leader));
  cluster.Start(old_leader);
  CHECK(cluster.WaitForAgreement(11));
}

// Guards against a control process that ends at SIGHUP, whose default action is
// to end the process.
TEST_CASE("a control process goes on after SIGHUP") {
  ControlCluster cluster(3, 25100);
  REQUIRE(cluster.Commit("before"));
  for (int i = 0; i < 3; ++i)
    cluster.Signal(i, SIGHUP);
  REQUIRE(cluster.Commit("after"));
  CHECK(cluster.WaitForAgreement(2));
}

TEST_CASE("a leader that was stopped does not present itself as current") {
  ControlCluster cluster(3, 25010);
  REQUIRE(cluster.Commit("before"));
  const int old_leader = cluster.WaitForLeader();
  REQUIRE(old_leader >= 0);
  cluster.Signal(old_leader, SIGSTOP);
  REQUIRE(cluster.Commit("meanwhile", old_leader));
  cluster.Signal(old_leader, SIGCONT);
  // The first answer after the stop already has to be truthful: either it is
  // not the leader's, or it includes what was committed meanwhile.
  const Reply reply = cluster.Probe(old_leader, "", std::chrono::seconds(60));
  REQUIRE(reply);
  CHECK((!reply->current_leader() || reply->probes() >= 2));
  CHECK(cluster.WaitForAgreement(2));
}

TEST_CASE("a process with a deleted data directory rejoins as a new member") {
  ControlCluster cluster(3, 25020);
  REQUIRE(cluster.Commit("before"));
  REQUIRE(cluster.WaitForAgreement(1));
  const int leader = cluster.WaitForLeader();
  REQUIRE(leader >= 0);
  const int lost = (leader + 1) % 3;
  const wire::ConsensusConfig before = cluster.Probe(leader)->config();
  cluster.Kill(lost);
  cluster.DeleteData(lost);
  cluster.Start(lost);
  const bool replaced = ControlCluster::WaitFor([&] {
    const Reply reply = cluster.Probe(lost);
    if (!reply || reply->config().members_size() != 3)
      return false;
    for (const auto& member : reply->config().members()) {
      if (member.learner())
        return false;
      for (const auto& old : before.members()) {
        if (member.address() == cluster.Address(lost) &&
            member.identity() == old.identity())
          return false;
      }
    }
    return true;
  });
  CHECK(replaced);
  // The new member is needed for a majority once another process is gone.
  const int other = (leader + 2) % 3;
  cluster.Kill(other);
  REQUIRE(cluster.Commit("after", other));
  cluster.Start(other);
  CHECK(cluster.WaitForAgreement(2));
}

TEST_CASE("a fresh cluster is formed only when all processes are there") {
  ControlCluster cluster(3, 25030, 2);
  // Two empty processes cannot know whether the third one holds the state.
  constexpr int kProbes = 200;
  for (int i = 0; i < kProbes; ++i) {
    Reply reply;
    REQUIRE(ControlCluster::WaitFor([&] {
      reply = cluster.Probe(i % 2);
      return reply.has_value();
    }));
    REQUIRE(reply->config().members_size() == 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  cluster.Start(2);
  CHECK(cluster.Commit("first"));
}

TEST_CASE("all processes restart after many entries") {
  ControlCluster cluster(3, 25040);
  REQUIRE(cluster.Commit("first"));
  const int leader = cluster.WaitForLeader();
  REQUIRE(leader >= 0);
  std::uint64_t committed = 1;
  // Enough for a snapshot, and for entries after it.
  constexpr int kEntries = 25000;
  constexpr std::size_t kWindow = 500;
  std::vector<std::future<Reply>> answers;
  for (int i = 0; i < kEntries; ++i) {
    answers.push_back(cluster.prober().Send(cluster.Address(leader), "entry"));
    if (answers.size() < kWindow)
      continue;
    for (auto& answer : answers) {
      if (answer.wait_for(std::chrono::seconds(60)) !=
          std::future_status::ready)
        continue;
      const Reply reply = answer.get();
      if (reply && reply->status() == wire::LogProbeReply::STATUS_COMMITTED)
        ++committed;
    }
    answers.clear();
  }
  REQUIRE(committed > 20000);
  for (int i = 0; i < 3; ++i)
    cluster.Kill(i);
  for (int i = 0; i < 3; ++i)
    cluster.Start(i);
  CHECK(cluster.WaitForAgreement(committed));
  const Reply reply = cluster.Probe(0);
  REQUIRE(reply);
  CHECK(reply->snapshot_index() > 0);
}

TEST_CASE("a damaged log ends the start with a message") {
  ControlCluster cluster(1, 25050);
  REQUIRE(cluster.Commit("one"));
  REQUIRE(cluster.Commit("two"));
  cluster.Kill(0);
  const std::string path = cluster.DataDir(0) + "/log";
  {
    std::fstream log(path, std::ios::in | std::ios::out | std::ios::binary);
    log.seekp(40);
    log.put('\x7f');
  }
  cluster.Start(0);
  CHECK(cluster.WaitForExit(0) == 1);
  CHECK_THAT(cluster.ErrorText(0), Catch::Contains("damaged record at byte"));
}

TEST_CASE("a failed write ends the process, and the others continue") {
  ControlCluster cluster(3, 25060);
  REQUIRE(cluster.Commit("first"));
  const int leader = cluster.WaitForLeader();
  REQUIRE(leader >= 0);
  cluster.Kill(leader);
  constexpr rlim_t kFileLimit = 64 << 10;
  cluster.Start(leader, kFileLimit);
  // More than fits, but no entry is refused by the other two.
  for (int i = 0; i < 5; ++i)
    REQUIRE(cluster.Commit(std::string(kFileLimit / 4, 'x')));
  CHECK(cluster.WaitForExit(leader) == 1);
  CHECK_THAT(cluster.ErrorText(leader), Catch::Contains("File too large"));
  REQUIRE(cluster.Commit("last"));
  cluster.Start(leader);
  CHECK(cluster.WaitForAgreement(7));
}

}  // namespace
}  // namespace yuccastair
