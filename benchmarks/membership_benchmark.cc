// CPU and bytes of sync with nodes and of pulls between control processes, for
// a fleet in which nodes of 980 services report twice a second.

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "measure.h"
#include "yuccastair/membership/registry.h"

namespace yuccastair::benchmarks {
namespace {

using std::chrono::milliseconds;

constexpr int kServices = 980;
constexpr int kFollowed = 6;
constexpr int kControls = 5;
constexpr int kRounds = 60;
constexpr std::uint64_t kChangedPerMille = 1;

std::string ServiceName(int number) {
  return "service-" + std::to_string(number % kServices);
}

void Run(int nodes) {
  support::ManualClock clock;
  const std::size_t before = HeapBytes();
  std::vector<membership::Registry> registries;
  registries.reserve(kControls);
  for (int i = 0; i < kControls; ++i)
    registries.emplace_back(clock, milliseconds(3000));
  std::vector<wire::SyncRequest> requests(nodes);
  for (int i = 0; i < nodes; ++i) {
    wire::Member* self = requests[i].mutable_self();
    self->set_node_id("node-" + std::to_string(i));
    self->set_incarnation("0123456789abcdef0123456789abcdef");
    self->set_availability_zone("zone-" + std::to_string(i % 8));
    self->set_address("10.0." + std::to_string(i / 250) + "." +
                      std::to_string(i % 250) + ":7000");
    self->set_service(ServiceName(i));
    self->set_state(wire::TARGET_STATE_UP);
    self->set_started_ms(1);
    for (int k = 1; k <= kFollowed; ++k)
      requests[i].add_followed()->set_service(ServiceName(i + k * 37));
  }
  double sync_cpu = 0;
  double pull_cpu = 0;
  std::uint64_t syncs = 0;
  std::uint64_t bytes = 0;
  std::uint64_t pull_bytes = 0;
  std::uint64_t largest = 0;
  std::uint64_t changes = 0;
  for (int round = 0; round < kRounds; ++round) {
    clock.Advance(milliseconds(500));
    // The first rounds are the start, in which nodes learn everything.
    const bool counted = round >= 10;
    for (int i = 0; i < nodes; ++i) {
      wire::Member* self = requests[i].mutable_self();
      self->set_sequence(round + 1);
      if (++changes * kChangedPerMille % 1000 == 0)
        self->set_state(self->state() == wire::TARGET_STATE_UP
                            ? wire::TARGET_STATE_DRAINING
                            : wire::TARGET_STATE_UP);
      const std::string sent = requests[i].SerializeAsString();
      const double begin = CpuMicroseconds();
      wire::SyncRequest received;
      received.ParseFromString(sent);
      membership::Registry& home = registries[i % kControls];
      home.ApplyReport(received.self());
      wire::SyncReply reply;
      for (const auto& followed : received.followed())
        home.FillReply(followed.service(), followed.revision(), reply);
      const std::string answer = reply.SerializeAsString();
      if (counted) {
        sync_cpu += CpuMicroseconds() - begin;
        ++syncs;
        bytes += sent.size() + answer.size();
      }
      for (const auto& report : reply.services()) {
        for (auto& followed : *requests[i].mutable_followed()) {
          if (followed.service() == report.service())
            followed.set_revision(report.revision());
        }
      }
    }
    const double begin = CpuMicroseconds();
    for (int from = 0; from < kControls; ++from) {
      for (int to = 0; to < kControls; ++to) {
        if (from == to)
          continue;
        const std::string peer = std::to_string(from);
        bool more = true;
        while (more) {
          const auto pull = registries[to].MakePull(peer);
          const auto delta = registries[from].HandlePull(pull);
          const std::uint64_t size = delta.ByteSizeLong();
          largest = std::max(largest, size);
          if (counted)
            pull_bytes += size + pull.ByteSizeLong();
          more = registries[to].ApplyDelta(peer, delta);
        }
      }
      registries[from].RemoveExpired();
    }
    if (counted)
      pull_cpu += CpuMicroseconds() - begin;
  }
  const double seconds = (kRounds - 10) * 0.5;
  std::printf(
      "nodes=%d us/sync=%.2f sync_bytes/s/node=%.0f "
      "sync_core_all_controls=%.2f%% pull_core_all_controls=%.3f%% "
      "pull_bytes/s/control=%.0f largest_pull_bytes=%.0f "
      "heap_bytes/node/control=%.0f\n",
      nodes, sync_cpu / static_cast<double>(syncs),
      static_cast<double>(bytes) / nodes / seconds, sync_cpu / seconds / 1e4,
      pull_cpu / seconds / 1e4,
      static_cast<double>(pull_bytes) / kControls / seconds,
      static_cast<double>(largest),
      static_cast<double>(HeapBytes() - before) / nodes / kControls);
}

}  // namespace
}  // namespace yuccastair::benchmarks

int main() {
  for (const int nodes : {100, 1000, 6000})
    yuccastair::benchmarks::Run(nodes);
  return 0;
}
