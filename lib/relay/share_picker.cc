// Smooth weighted round robin.

#include "share_picker.h"

#include <algorithm>

namespace yuccastair::relay {

const std::string& SharePicker::Pick(const wire::PolicyRoute& route) {
  const auto& shares = route.shares();
  if (shares.size() == 1)
    return shares[0].service();
  std::int64_t total = 0;
  for (const wire::PolicyShare& share : shares)
    total += share.weight();
  auto& credits = credits_[route.name()];
  if (credits.size() != static_cast<std::size_t>(shares.size())) {
    credits.clear();
    for (const wire::PolicyShare& share : shares)
      credits.push_back(random_below_(share.weight() + 1));
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < credits.size(); ++i) {
    credits[i] += shares[static_cast<int>(i)].weight();
    if (credits[i] > credits[best])
      best = i;
  }
  credits[best] -= total;
  return shares[static_cast<int>(best)].service();
}

}  // namespace yuccastair::relay
