// CPU and bytes of rate leases: every node spends steadily for each of its
// organisations over a simulated time, with messages encoded and decoded.

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "measure.h"
#include "yuccastair/rates/rate_ledger.h"
#include "yuccastair/rates/token_leases.h"

namespace yuccastair::benchmarks {
namespace {

using std::chrono::milliseconds;

constexpr int kStepMs = 5;
constexpr int kSeconds = 5;

void Run(int nodes, int organisations, double per_second) {
  support::ManualClock clock;
  const double fleet_rate = nodes * per_second / organisations * 1.2;
  const std::size_t before = HeapBytes();
  rates::RateLedger ledger(
      clock,
      [&](const std::string&) {
        return std::optional(rates::RateLimit{fleet_rate, fleet_rate});
      },
      0, 1);
  std::vector<std::unique_ptr<rates::TokenLeases>> leases;
  leases.reserve(nodes);
  std::vector<double> due(nodes, 0);
  for (int i = 0; i < nodes; ++i)
    leases.push_back(std::make_unique<rates::TokenLeases>(
        clock, "node-" + std::to_string(i), "0123456789abcdef"));
  double ledger_cpu = 0;
  double node_cpu = 0;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t taken = 0;
  std::uint64_t missed = 0;
  std::uint64_t next = 0;
  for (int t = 0; t < kSeconds * 1000; t += kStepMs) {
    clock.Advance(milliseconds(kStepMs));
    const double step_begin = CpuMicroseconds();
    double step_ledger = 0;
    for (int i = 0; i < nodes; ++i) {
      int waiting = 0;
      std::string organisation;
      for (due[i] += per_second * kStepMs / 1000; due[i] >= 1; due[i] -= 1) {
        organisation = "organisation-" + std::to_string(next++ % organisations);
        if (leases[i]->TryTake(organisation)) {
          ++taken;
        } else {
          leases[i]->AddWaiter(organisation);
          ++waiting;
        }
      }
      if (const auto request = leases[i]->NextRequest()) {
        const std::string sent = request->SerializeAsString();
        const double begin = CpuMicroseconds();
        wire::RateRequest received;
        received.ParseFromString(sent);
        const std::string answer = ledger.Handle(received).SerializeAsString();
        step_ledger += CpuMicroseconds() - begin;
        wire::RateGrant grant;
        grant.ParseFromString(answer);
        leases[i]->Apply(grant);
        ++messages;
        bytes += sent.size() + answer.size();
      }
      for (; waiting > 0; --waiting) {
        if (leases[i]->TryTake(organisation))
          ++taken;
        else
          ++missed;
        leases[i]->RemoveWaiter(organisation);
      }
    }
    ledger.RemoveExpired();
    ledger_cpu += step_ledger;
    node_cpu += CpuMicroseconds() - step_begin - step_ledger;
  }
  std::printf(
      "nodes=%d organisations=%d requests/s/node=%.0f messages/s/node=%.1f "
      "bytes/s/node=%.0f ledger_us/message=%.2f ledger_core=%.1f%% "
      "node_core=%.3f%% heap_bytes/lease=%.0f missed=%.3f%%\n",
      nodes, organisations, per_second,
      static_cast<double>(messages) / nodes / kSeconds,
      static_cast<double>(bytes) / nodes / kSeconds,
      ledger_cpu / static_cast<double>(messages), ledger_cpu / kSeconds / 1e4,
      node_cpu / nodes / kSeconds / 1e4,
      static_cast<double>(HeapBytes() - before) /
          static_cast<double>(ledger.lease_count() + 1),
      100.0 * static_cast<double>(missed) /
          static_cast<double>(taken + missed));
}

}  // namespace
}  // namespace yuccastair::benchmarks

int main() {
  for (const int nodes : {100, 1000, 6000}) {
    for (const int organisations : {8, 64})
      yuccastair::benchmarks::Run(nodes, organisations, 52);
  }
  return 0;
}
