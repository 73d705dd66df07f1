// Measures the replicated log with three control processes on loopback:
// proposals per second, latency, the time to restart after 10,000 entries, and
// the time from kill -9 of the leader until another one holds the lease.
// Prints one line for each entry size. TMPDIR chooses the disk.

#include <algorithm>
#include <cstdio>
#include <deque>
#include <iterator>

#include "processes/control_cluster.h"

namespace yuccastair {
namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr int kProcesses = 3;
constexpr int kFirstPort = 25500;
constexpr std::uint64_t kEntries = 10000;
constexpr int kSingleProposals = 200;
constexpr int kFailovers = 5;
// Proposals under way at once in the throughput part.
constexpr std::size_t kWindow = 256;
constexpr std::size_t kEntrySizes[] = {64, 1024, 16384};

struct Pending {
  Clock::time_point sent;
  std::future<Reply> answer;
};

class Benchmark {
 public:
  explicit Benchmark(std::size_t entry_size, int port)
      : payload_(entry_size, 'x'), cluster_(kProcesses, port) {}

  bool Run() {
    if (!cluster_.Commit(payload_))
      return false;
    leader_ = cluster_.WaitForLeader();
    for (int i = 0; i < kSingleProposals; ++i) {
      const auto start = Clock::now();
      if (!Count(cluster_.Probe(leader_, payload_)))
        return false;
      single_.push_back(Milliseconds(Clock::now() - start).count());
    }
    return RunThroughput() && RunRestart() && RunFailovers();
  }

  void Print() {
    std::printf(
        "%7zu B | %8.0f/s | %7.2f %7.2f | %7.2f %7.2f | %7.0f ms "
        "| %5.0f %5.0f\n",
        payload_.size(), per_second_, Percentile(single_, 0.5),
        Percentile(single_, 0.99), Percentile(loaded_, 0.5),
        Percentile(loaded_, 0.99), restart_ms_, Percentile(failover_, 0.5),
        Percentile(failover_, 1));
    std::fflush(stdout);
  }

 private:
  static bool Count(const Reply& reply) {
    return reply && reply->status() == wire::LogProbeReply::STATUS_COMMITTED;
  }

  static double Percentile(std::vector<double>& values, double share) {
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * share)];
  }

  bool RunThroughput() {
    std::deque<Pending> pending;
    const auto start = Clock::now();
    for (std::uint64_t sent = 0; sent < kEntries || !pending.empty();) {
      if (sent < kEntries && pending.size() < kWindow) {
        pending.push_back(
            {Clock::now(),
             cluster_.prober().Send(cluster_.Address(leader_), payload_)});
        ++sent;
        continue;
      }
      Pending oldest = std::move(pending.front());
      pending.pop_front();
      if (oldest.answer.wait_for(std::chrono::seconds(60)) !=
              std::future_status::ready ||
          !Count(oldest.answer.get()))
        return false;
      loaded_.push_back(Milliseconds(Clock::now() - oldest.sent).count());
    }
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    per_second_ = static_cast<double>(kEntries) / elapsed.count();
    return cluster_.WaitForAgreement(kEntries);
  }

  /// Time from the start of all processes until a leader has applied all
  /// entries again; includes the election.
  bool RunRestart() {
    const std::uint64_t entries = cluster_.Probe(leader_)->probes();
    for (int i = 0; i < kProcesses; ++i)
      cluster_.Kill(i);
    const auto start = Clock::now();
    for (int i = 0; i < kProcesses; ++i)
      cluster_.Start(i);
    const int leader = cluster_.WaitForLeader();
    restart_ms_ = Milliseconds(Clock::now() - start).count();
    const Reply reply = leader < 0 ? std::nullopt : cluster_.Probe(leader);
    return reply && reply->probes() == entries;
  }

  bool RunFailovers() {
    for (int i = 0; i < kFailovers; ++i) {
      if (!cluster_.WaitForAgreement(kEntries))
        return false;
      const int old_leader = cluster_.WaitForLeader();
      if (old_leader < 0)
        return false;
      const auto start = Clock::now();
      cluster_.Kill(old_leader);
      if (cluster_.WaitForLeader(old_leader) < 0)
        return false;
      failover_.push_back(Milliseconds(Clock::now() - start).count());
      cluster_.Start(old_leader);
    }
    return true;
  }

  const std::string payload_;
  ControlCluster cluster_;
  int leader_ = -1;
  std::vector<double> single_;
  std::vector<double> loaded_;
  std::vector<double> failover_;
  double per_second_ = 0;
  double restart_ms_ = 0;
};

int RunAll() {
  std::printf(
      "  entry   |  proposals | one at a time ms  | %zu at once ms    | "
      "restart after | failover ms\n          |            |   p50     p99     "
      "|   p50     p99     | %llu entries | p50   max\n",
      kWindow, static_cast<unsigned long long>(kEntries));
  int port = kFirstPort;
  for (const std::size_t size : kEntrySizes) {
    Benchmark benchmark(size, port);
    port += kProcesses;
    if (!benchmark.Run()) {
      std::fprintf(stderr, "a proposal failed at %zu bytes\n", size);
      return 1;
    }
    benchmark.Print();
  }
  return 0;
}

}  // namespace
}  // namespace yuccastair

int main() {
  return yuccastair::RunAll();
}
