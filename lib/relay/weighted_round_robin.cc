// Smooth weighted round robin.

#include "weighted_round_robin.h"

#include <algorithm>

namespace yuccastair::relay {

const std::string& WeightedRoundRobin::Pick(const wire::PolicyRoute& route) {
  const auto& shares = route.shares();
  if (shares.size() == 1)
    return shares[0].service();
  std::int64_t total = 0;
  for (const wire::PolicyShare& share : shares)
    total += share.weight();
  auto& weights = current_weights_[route.name()];
  if (weights.size() != static_cast<std::size_t>(shares.size())) {
    weights.clear();
    for (const wire::PolicyShare& share : shares)
      weights.push_back(random_below_(share.weight() + 1));
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    weights[i] += shares[static_cast<int>(i)].weight();
    if (weights[i] > weights[best])
      best = i;
  }
  weights[best] -= total;
  return shares[static_cast<int>(best)].service();
}

}  // namespace yuccastair::relay
