// Follows the success of calls with the share of requests that is admitted.

#include "yuccastair/admission/call_throttle.h"

#include <algorithm>
#include <numeric>

namespace yuccastair::admission {
namespace {

// Routes that are remembered; requests of others are not held back.
constexpr std::size_t kMaxRoutes = 2048;

}  // namespace

bool CallThrottle::Admit(const std::string& name, wire::Importance importance) {
  const auto found = routes_.find(name);
  if (found == routes_.end())
    return true;
  Route& route = found->second;
  const auto rank = static_cast<std::size_t>(importance);
  ++route.arrived[rank];
  if (route.share >= 1)
    return true;
  route.credit[rank] = std::min(route.credit[rank] + route.admitted[rank], 1.0);
  if (route.credit[rank] < 1)
    return false;
  route.credit[rank] = 0;
  return true;
}

void CallThrottle::OnEnd(const std::string& name, bool calls_refused) {
  if (!routes_.contains(name)) {
    // Only routes that have lost a call are of interest.
    if (!calls_refused || routes_.size() >= kMaxRoutes)
      return;
    routes_[name].changed_at = clock_.Now();
  }
  Route& route = routes_[name];
  ++route.ended;
  route.refused += calls_refused ? 1 : 0;
  if (route.ended >= kLeastEnded &&
      clock_.Now() - route.changed_at >= kInterval)
    Change(route);
}

void CallThrottle::Change(Route& route) {
  const double served = 1 - static_cast<double>(route.refused) / route.ended;
  route.share = std::clamp(route.share * kHeadroom * served, kLeastShare, 1.0);
  Spread(route);
  route.changed_at = clock_.Now();
  route.ended = 0;
  route.refused = 0;
  route.arrived.fill(0);
}

/// Gives the admitted share of the arrivals to the most important ones first.
void CallThrottle::Spread(Route& route) {
  const auto& arrived = route.arrived;
  double left =
      route.share * std::accumulate(arrived.begin(), arrived.end(), 0.0);
  for (std::size_t rank = 0; rank < kImportances; ++rank) {
    const double wanted = arrived[rank];
    // An importance that did not arrive lately is rare enough to be admitted.
    const double part = wanted > 0 ? std::clamp(left / wanted, 0.0, 1.0) : 1;
    left -= part * wanted;
    route.admitted[rank] = std::max(part, kLeastOfImportance);
  }
}

double CallThrottle::ShareOf(const std::string& name) const {
  const auto found = routes_.find(name);
  return found == routes_.end() ? 1 : found->second.share;
}

}  // namespace yuccastair::admission
