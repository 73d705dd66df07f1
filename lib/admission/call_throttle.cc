// Adjusts the admitted share of each route to the success of its calls.

#include "yuccastair/admission/call_throttle.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace yuccastair::admission {
namespace {

// Bounds the tracked routes; requests of other routes are not throttled.
constexpr std::size_t kMaxRoutes = 2048;
// The share grows by powers of kHeadroom: faster the longer the calls find
// capacity, and faster still below kFarBelow. So small a share results from an
// outage, and served requests show that the outage is over.
constexpr std::uint32_t kMaxClean = 4;
constexpr std::uint32_t kMinPower = 1;
constexpr double kFarBelow = 0.2;
// Growth where most calls are served by targets with calls still queued. They
// may have been served by chance.
constexpr double kGrowthBelowFull = 1.2;
// Minimum factor of a single adjustment. When a share has grown slightly too
// far, nearly all requests of an interval fail. Only repeated rejections are
// treated as an outage.
constexpr double kLeastFactor = 0.5;
constexpr std::uint32_t kReducedOfOutage = 3;

bool IsRefusal(CallsEnd end) {
  return end == CallsEnd::kRefused || end == CallsEnd::kNoRoom;
}

}  // namespace

bool CallThrottle::Admit(const std::string& name, wire::Importance importance) {
  const auto found = routes_.find(name);
  if (found == routes_.end())
    return true;
  Route& route = found->second;
  if (!route.missing_service.empty() && !AdmitWaiting(route))
    return false;
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

/// Returns whether to admit a request of a waiting route. Ends the wait if the
/// service has a target again.
bool CallThrottle::AdmitWaiting(Route& route) const {
  const support::TimePoint now = clock_.Now();
  if (!HasTarget(route.missing_service)) {
    if (now < route.probe_at)
      return false;
    route.probe_at = now + kProbeOfWaiting;
    return true;
  }
  route.missing_service.clear();
  route.missing_in_a_row = 0;
  route.share = std::max(route.share, kShareOfReturn);
  route.reduced = 0;
  route.admitted.fill(route.share);
  ResetInterval(route);
  return true;
}

void CallThrottle::NoteMissing(Route& route,
                               CallsEnd end,
                               const std::string& missing_service) const {
  if (!IsRefusal(end))
    route.missing_service.clear();
  if (!IsRefusal(end) || missing_service.empty()) {
    route.missing_in_a_row = 0;
    return;
  }
  ++route.missing_in_a_row;
  if (!route.missing_service.empty() ||
      route.missing_in_a_row < kMissingToWait || HasTarget(missing_service))
    return;
  route.missing_service = missing_service;
  route.probe_at = clock_.Now() + kProbeOfWaiting;
}

std::string CallThrottle::MissingServiceOf(const std::string& name) const {
  const auto found = routes_.find(name);
  return found == routes_.end() ? "" : found->second.missing_service;
}

void CallThrottle::OnEnd(const std::string& name,
                         CallsEnd end,
                         const std::string& missing_service) {
  if (!routes_.contains(name)) {
    // A route is tracked from its first rejected call on.
    if (!IsRefusal(end) || routes_.size() >= kMaxRoutes)
      return;
    routes_[name].changed_at = clock_.Now();
  }
  Route& route = routes_[name];
  NoteMissing(route, end, missing_service);
  ++route.ended;
  route.served_by_full += end == CallsEnd::kServedByFull ? 1 : 0;
  route.refused += IsRefusal(end) ? 1 : 0;
  route.without_room += end == CallsEnd::kNoRoom ? 1 : 0;
  if (IsChangeDue(route))
    Change(route);
}

bool CallThrottle::IsChangeDue(const Route& route) const {
  const auto passed = clock_.Now() - route.changed_at;
  return passed >= kLongestInterval ||
         (passed >= kInterval && route.ended >= kLeastEnded);
}

double CallThrottle::HeadroomOf(const Route& route) {
  if (2 * route.without_room <= route.refused)
    return kHeadroom;
  return kHeadroomWithoutRoom + kHeadroomOfShare * route.share * route.share;
}

double CallThrottle::Factor(Route& route) {
  if (route.refused == 0) {
    route.reduced = 0;
    if (2 * route.served_by_full > route.ended) {
      route.clean = 0;
      return kGrowthBelowFull;
    }
    route.clean = std::min(route.clean + 1, kMaxClean);
    const std::uint32_t power = route.share < kFarBelow
                                    ? route.clean + 1
                                    : std::max(route.clean, kMinPower + 1) - 1;
    return std::pow(kHeadroom, power);
  }
  route.clean = 0;
  route.reduced = std::min(route.reduced + 1, kReducedOfOutage);
  const double served = 1 - static_cast<double>(route.refused) / route.ended;
  const double factor = HeadroomOf(route) * served;
  return route.reduced < kReducedOfOutage ? std::max(factor, kLeastFactor)
                                          : factor;
}

void CallThrottle::Change(Route& route) const {
  const std::chrono::duration<double> passed = clock_.Now() - route.changed_at;
  const double arrived =
      std::accumulate(route.arrived.begin(), route.arrived.end(), 0.0);
  if (arrived > 0)
    route.least = std::clamp(kProbesPerSecond * passed.count() / arrived,
                             kLeastShare, 1.0);
  route.share = std::clamp(route.share * Factor(route), route.least, 1.0);
  Spread(route);
  ResetInterval(route);
}

void CallThrottle::ResetInterval(Route& route) const {
  route.changed_at = clock_.Now();
  route.ended = 0;
  route.served_by_full = 0;
  route.refused = 0;
  route.without_room = 0;
  route.arrived.fill(0);
}

/// Distributes the admitted share among the arrivals, most important first.
void CallThrottle::Spread(Route& route) {
  const auto& arrived = route.arrived;
  double left =
      route.share * std::accumulate(arrived.begin(), arrived.end(), 0.0);
  for (std::size_t rank = 0; rank < kImportances; ++rank) {
    const double wanted = arrived[rank];
    // An importance without arrivals in the interval is rare enough to be
    // admitted in full.
    const double part = wanted > 0 ? std::clamp(left / wanted, 0.0, 1.0) : 1;
    left -= part * wanted;
    route.admitted[rank] = std::max(part, kLeastOfImportance * route.least);
  }
}

double CallThrottle::ShareOf(const std::string& name) const {
  const auto found = routes_.find(name);
  return found == routes_.end() ? 1 : found->second.share;
}

}  // namespace yuccastair::admission
