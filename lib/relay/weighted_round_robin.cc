// Smooth weighted round robin.

#include "weighted_round_robin.h"

#include <algorithm>
#include <numeric>

namespace yuccastair::relay {
namespace {

// Bounds the work at the first request of a route. A sequence with a longer
// period starts at one of its first choices, whose shares are already close to
// the weights.
constexpr std::int64_t kMaxStartOffset = 1024;

// Chooses a share of \p route and updates the current weights.
std::size_t Advance(const wire::PolicyRoute& route,
                    std::int64_t total,
                    std::vector<std::int64_t>& weights) {
  std::size_t best = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    weights[i] += route.shares(static_cast<int>(i)).weight();
    if (weights[i] > weights[best])
      best = i;
  }
  weights[best] -= total;
  return best;
}

}  // namespace

const std::string& WeightedRoundRobin::Pick(const wire::PolicyRoute& route) {
  const auto& shares = route.shares();
  if (shares.size() == 1)
    return shares[0].service();
  std::int64_t total = 0;
  std::int64_t divisor = 0;
  for (const wire::PolicyShare& share : shares) {
    total += share.weight();
    divisor = std::gcd(divisor, static_cast<std::int64_t>(share.weight()));
  }
  auto& weights = current_weights_[route.name()];
  if (weights.size() != static_cast<std::size_t>(shares.size())) {
    weights.assign(static_cast<std::size_t>(shares.size()), 0);
    const std::int64_t period = divisor > 0 ? total / divisor : 1;
    const auto offset = random_below_(
        static_cast<std::uint32_t>(std::min(period, kMaxStartOffset)));
    for (std::uint32_t i = 0; i < offset; ++i)
      Advance(route, total, weights);
  }
  return shares[static_cast<int>(Advance(route, total, weights))].service();
}

}  // namespace yuccastair::relay
