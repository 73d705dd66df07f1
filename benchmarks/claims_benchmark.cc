// CPU and memory of the claim table: claims and ends in batches.

#include <cstdio>
#include <string>

#include "measure.h"
#include "yuccastair/claims/claim_table.h"

namespace yuccastair::benchmarks {
namespace {

constexpr int kBatch = 64;

void Run(int claims, std::size_t answer_bytes) {
  claims::ClaimTable table;
  const std::size_t before = HeapBytes();
  const std::string answer(answer_bytes, 'a');
  double cpu = 0;
  for (int first = 0; first < claims; first += kBatch) {
    wire::ClaimCommand claim;
    wire::ClaimCommand finish;
    for (int i = first; i < first + kBatch; ++i) {
      wire::ClaimOperation operation;
      operation.set_key("12:organisation11:order-create" +
                        std::to_string(1000000000 + i) + "-0123456789abcdef");
      operation.set_attempt_id(std::to_string(1000000000 + i) +
                               "0123456789abcdef012345");
      operation.set_body_hash("0123456789abcdef");
      operation.set_action(wire::CLAIM_ACTION_CLAIM);
      *claim.add_operations() = operation;
      operation.set_action(wire::CLAIM_ACTION_FINISH);
      operation.set_answer(answer);
      *finish.add_operations() = operation;
    }
    const std::string claim_text = claim.SerializeAsString();
    const std::string finish_text = finish.SerializeAsString();
    const double begin = CpuMicroseconds();
    table.Apply(1, claim_text);
    table.Apply(2, finish_text);
    cpu += CpuMicroseconds() - begin;
  }
  const auto count = static_cast<double>(table.claim_count());
  const double heap = static_cast<double>(HeapBytes() - before);
  const double begin = CpuMicroseconds();
  const std::size_t snapshot = table.TakeSnapshot().size();
  std::printf(
      "claims=%.0f answer_bytes=%zu us/claim=%.2f heap_bytes/claim=%.0f "
      "snapshot_mb=%.1f snapshot_ms=%.0f\n",
      count, answer_bytes, cpu / count, heap / count,
      static_cast<double>(snapshot) / 1e6, (CpuMicroseconds() - begin) / 1e3);
}

}  // namespace
}  // namespace yuccastair::benchmarks

int main() {
  for (const int claims : {10000, 100000, 400000})
    yuccastair::benchmarks::Run(claims, 200);
  yuccastair::benchmarks::Run(10000, 16000);
  return 0;
}
