// Goodput of admission on a model target, as a share of the best possible.
//
// The clock is manual and the seed fixed, so each run prints the same figures.
// Load is a multiple of the target's capacity.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <vector>

#include "admission_simulation.h"

namespace yuccastair::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Kind {
  std::uint32_t slots;
  milliseconds service_time;
  std::uint32_t initial_limit;
};

/// Runs for \p time and returns the goodput of it.
double Goodput(Simulation& simulation, double load, milliseconds time) {
  simulation.ResetTallies();
  simulation.RunFor(time);
  return static_cast<double>(simulation.TotalGood()) /
         (simulation.BestPossible(time) * std::min(load, 1.0));
}

void Measure(const Kind& kind, double load) {
  Options options;
  options.limit.initial = kind.initial_limit;
  Simulation simulation(options);
  simulation.target().slots = kind.slots;
  simulation.target().service_time = kind.service_time;
  simulation.SetStreams({{"a", wire::IMPORTANCE_NORMAL,
                          simulation.BestPossible(seconds(1)) * load}});
  std::printf("%3u slots, %3d ms, limit from %3u, load %4.1f:", kind.slots,
              static_cast<int>(kind.service_time.count()), kind.initial_limit,
              load);
  std::printf(" first 2 s %.3f,", Goodput(simulation, load, seconds(2)));
  std::printf(" then 20 s %.3f", Goodput(simulation, load, seconds(20)));
  if (load > 1) {
    simulation.target().service_time *= 3;
    simulation.RunFor(seconds(2));
    std::printf(", 2 s after a threefold service time %.3f",
                Goodput(simulation, load, seconds(5)));
    simulation.target().service_time = kind.service_time;
    simulation.RunFor(seconds(2));
    std::printf(", 2 s after its end %.3f",
                Goodput(simulation, load, seconds(5)));
  }
  std::printf(", limit %u\n", simulation.admission().limit());
}

}  // namespace
}  // namespace yuccastair::admission

int main() {
  using std::chrono::milliseconds;
  const std::vector<yuccastair::admission::Kind> kinds = {
      {20, milliseconds(50), 32},   {40, milliseconds(20), 32},
      {70, milliseconds(20), 32},   {130, milliseconds(20), 32},
      {130, milliseconds(20), 512}, {200, milliseconds(10), 32}};
  for (const auto& kind : kinds) {
    for (const double load : {0.5, 0.9, 3.0, 10.0})
      yuccastair::admission::Measure(kind, load);
  }
  return 0;
}
