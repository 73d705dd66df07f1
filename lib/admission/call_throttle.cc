// Adjusts the admitted share of each route to the success of its calls.

#include "yuccastair/admission/call_throttle.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace yuccastair::admission {
namespace {

// Bounds the tracked routes; requests of other routes are not throttled.
constexpr std::size_t kMaxTrackedRoutes = 2048;
// The share grows by powers of kHeadroom: faster the longer the calls find
// capacity, and faster still below kOutageShare. So small a share results from
// an outage, and served requests show that the outage is over.
constexpr std::uint32_t kMaxClearIntervals = 4;
constexpr std::uint32_t kMinGrowthPower = 1;
constexpr double kOutageShare = 0.2;
// Growth where most calls are served by targets with calls still queued. They
// may have been served by chance.
constexpr double kGrowthAtCapacity = 1.2;
// Minimum factor of a single adjustment. When a share has grown slightly too
// far, nearly all requests of an interval fail. Only repeated rejections are
// treated as an outage.
constexpr double kMinShareFactor = 0.5;
constexpr std::uint32_t kRejectingIntervalsOfOutage = 3;

bool IsRejection(DownstreamOutcome outcome) {
  return outcome >= DownstreamOutcome::kRejectedWithFreeSlots;
}

}  // namespace

void CallThrottle::SetKnownNeeds(RouteNeeds needs) {
  known_needs_ = std::move(needs);
  std::erase_if(learnt_needs_, [this](const auto& learnt) {
    const auto known = known_needs_.find(learnt.first);
    return learnt.second == (known == known_needs_.end() ? "" : known->second);
  });
}

void CallThrottle::WaitForKnownNeed(const std::string& name) {
  const auto need = known_needs_.find(name);
  // What was learnt here is newer than the list.
  if (need == known_needs_.end() || learnt_needs_.contains(name) ||
      KnowsTarget(need->second) ||
      (routes_.size() >= kMaxTrackedRoutes && !routes_.contains(name)))
    return;
  RouteState& route = routes_[name];
  if (!route.missing_service.empty())
    return;
  route.missing_service = need->second;
  route.awaits_first_probe = true;
  route.probe_at = clock_.Now() + kWaitingProbeInterval;
}

bool CallThrottle::Admit(const std::string& name, wire::Importance importance) {
  WaitForKnownNeed(name);
  const auto found = routes_.find(name);
  if (found == routes_.end())
    return true;
  RouteState& route = found->second;
  if (!route.missing_service.empty() && !AdmitWhileWaiting(route))
    return false;
  RestoreIfRecovered(route);
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

void CallThrottle::OnCallEnd(const std::string& route,
                             const std::string& call_route,
                             DownstreamOutcome outcome) {
  if (IsRejection(outcome)) {
    const auto tracked = routes_.find(route);
    if (outcome == DownstreamOutcome::kRejectedWithFreeSlots &&
        tracked != routes_.end())
      tracked->second.rejected_call = call_route;
    if (served_calls_.size() < kMaxTrackedRoutes ||
        served_calls_.contains(call_route))
      served_calls_[call_route] = 0;
    return;
  }
  const auto found = served_calls_.find(call_route);
  if (outcome == DownstreamOutcome::kServed && found != served_calls_.end())
    found->second = std::min(found->second + 1, kServedCallsOfRecovery);
}

/// Restores the share if rejections with free slots that reduced it are over.
/// The requests that are held back find room then.
void CallThrottle::RestoreIfRecovered(RouteState& route) const {
  if (route.share >= 1 ||
      route.cause != DownstreamOutcome::kRejectedWithFreeSlots ||
      clock_.Now() < route.next_recovery_at)
    return;
  const auto found = served_calls_.find(route.rejected_call);
  if (found == served_calls_.end() || found->second < kServedCallsOfRecovery)
    return;
  route.next_recovery_at = clock_.Now() + kMinRecoveryInterval;
  route.share = 1;
  route.rejecting_intervals = 0;
  route.admitted.fill(route.share);
  ResetInterval(route);
}

/// Returns whether to admit a request of a waiting route. Ends the wait if the
/// service has a target again.
bool CallThrottle::AdmitWhileWaiting(RouteState& route) const {
  const support::TimePoint now = clock_.Now();
  if (!KnowsTarget(route.missing_service)) {
    if (now < route.probe_at)
      return false;
    route.awaits_first_probe = false;
    route.probe_at = now + kWaitingProbeInterval;
    return true;
  }
  route.missing_service.clear();
  route.consecutive_misses = 0;
  route.share = std::max(route.share, kMinShareOnReturn);
  route.rejecting_intervals = 0;
  route.admitted.fill(route.share);
  ResetInterval(route);
  return true;
}

void CallThrottle::OnMissingService(const std::string& name,
                                    RouteState& route,
                                    DownstreamOutcome outcome,
                                    const std::string& missing_service) {
  if (!IsRejection(outcome) && !route.missing_service.empty() &&
      !route.awaits_first_probe) {
    // Served although the service still has no target.
    if (known_needs_.contains(name) && !KnowsTarget(route.missing_service))
      learnt_needs_[name] = "";
    else
      learnt_needs_.erase(name);
    route.missing_service.clear();
  }
  if (!IsRejection(outcome) || missing_service.empty()) {
    route.consecutive_misses = 0;
    return;
  }
  ++route.consecutive_misses;
  if (!route.missing_service.empty() ||
      route.consecutive_misses < kMissesBeforeWaiting ||
      HasTarget(missing_service))
    return;
  route.missing_service = missing_service;
  route.awaits_first_probe = false;
  route.probe_at = clock_.Now() + kWaitingProbeInterval;
  const auto known = known_needs_.find(name);
  if (known == known_needs_.end() || known->second != missing_service)
    learnt_needs_[name] = missing_service;
  else
    learnt_needs_.erase(name);
}

std::string CallThrottle::MissingService(const std::string& name) const {
  const auto found = routes_.find(name);
  return found == routes_.end() ? "" : found->second.missing_service;
}

void CallThrottle::OnRequestEnd(const std::string& name,
                                DownstreamOutcome outcome,
                                const std::string& missing_service,
                                RequestKind kind) {
  if (!routes_.contains(name)) {
    // A route is tracked from its first rejected call on.
    if (!IsRejection(outcome) || routes_.size() >= kMaxTrackedRoutes)
      return;
    routes_[name].adjusted_at = clock_.Now();
  }
  RouteState& route = routes_[name];
  OnMissingService(name, route, outcome, missing_service);
  route.kind = kind;
  ++route.ended;
  route.served_at_capacity +=
      outcome == DownstreamOutcome::kServedAtCapacity ? 1 : 0;
  route.rejected += IsRejection(outcome) ? 1 : 0;
  route.without_capacity += outcome == DownstreamOutcome::kNoCapacity ? 1 : 0;
  route.with_free_slots +=
      outcome == DownstreamOutcome::kRejectedWithFreeSlots ? 1 : 0;
  if (IsAdjustmentDue(route))
    AdjustShare(route);
}

bool CallThrottle::IsAdjustmentDue(const RouteState& route) const {
  const auto passed = clock_.Now() - route.adjusted_at;
  return passed >= kMaxAdjustmentInterval ||
         (passed >= kMinAdjustmentInterval && route.ended >= kMinEndedRequests);
}

ReductionCheck::Interval CallThrottle::RelevantRequests(
    const RouteState& route) {
  // An unrepeatable request that fails costs more than one that is held back in
  // vain, so its share answers to rejections of any cause.
  const std::uint32_t irrelevant =
      route.kind == RequestKind::kRepeatable ? route.with_free_slots : 0;
  return {.share = route.share,
          .ended = route.ended - irrelevant,
          .served = route.ended - route.rejected};
}

DownstreamOutcome CallThrottle::CauseOfRejections(const RouteState& route) {
  const ReductionCheck::Interval requests = RelevantRequests(route);
  const std::uint32_t rejected = requests.ended - requests.served;
  if (2 * route.without_capacity > rejected)
    return DownstreamOutcome::kNoCapacity;
  return route.kind == RequestKind::kUnrepeatable &&
                 2 * route.with_free_slots > rejected
             ? DownstreamOutcome::kRejectedWithFreeSlots
             : DownstreamOutcome::kRejected;
}

double CallThrottle::Headroom(const RouteState& route) {
  if (route.cause != DownstreamOutcome::kNoCapacity)
    return kHeadroom;
  return kNoCapacityHeadroom +
         kNoCapacityHeadroomGrowth * route.share * route.share;
}

double CallThrottle::GrowthFactor(RouteState& route, bool at_capacity) {
  route.rejecting_intervals = 0;
  if (at_capacity) {
    route.clear_intervals = 0;
    return kGrowthAtCapacity;
  }
  route.clear_intervals =
      std::min(route.clear_intervals + 1, kMaxClearIntervals);
  if (route.clear_intervals > 1)
    route.reduction_check.OnClear();
  if (route.cause == DownstreamOutcome::kRejectedWithFreeSlots)
    return std::pow(kHeadroom, kMaxClearIntervals);
  const std::uint32_t power =
      route.share < kOutageShare
          ? route.clear_intervals + 1
          : std::max(route.clear_intervals, kMinGrowthPower + 1) - 1;
  return std::pow(kHeadroom, power);
}

double CallThrottle::ShareFactor(RouteState& route) {
  const ReductionCheck::Interval requests = RelevantRequests(route);
  if (requests.served == requests.ended)
    return GrowthFactor(route, 2 * route.served_at_capacity > route.ended);
  route.clear_intervals = 0;
  route.rejecting_intervals =
      std::min(route.rejecting_intervals + 1, kRejectingIntervalsOfOutage);
  route.cause = CauseOfRejections(route);
  const double served = static_cast<double>(requests.served) / requests.ended;
  const double factor = Headroom(route) * served;
  return route.rejecting_intervals < kRejectingIntervalsOfOutage
             ? std::max(factor, kMinShareFactor)
             : factor;
}

double CallThrottle::CheckedShare(RouteState& route, double share) const {
  ReductionCheck& check = route.reduction_check;
  if (check.Record(RelevantRequests(route), clock_.Now()))
    return check.restored_share();
  if (check.IsSuspended(clock_.Now()))
    return std::max(share, route.share * kHeadroom);
  return std::max(share, check.MinShare(route.share_of_one));
}

void CallThrottle::AdjustShare(RouteState& route) const {
  const std::chrono::duration<double> passed = clock_.Now() - route.adjusted_at;
  const double arrived =
      std::accumulate(route.arrived.begin(), route.arrived.end(), 0.0);
  if (arrived > 0) {
    route.share_of_one = passed.count() / arrived;
    route.min_share =
        std::clamp(kMinRequestsPerSecond * route.share_of_one, kMinShare, 1.0);
  }
  double share = route.share * ShareFactor(route);
  const bool unexplained = route.rejected > route.with_free_slots &&
                           route.cause == DownstreamOutcome::kRejected;
  if (route.kind == RequestKind::kRepeatable && unexplained)
    share = CheckedShare(route, share);
  route.share = std::clamp(share, route.min_share, 1.0);
  DistributeShare(route);
  ResetInterval(route);
}

void CallThrottle::ResetInterval(RouteState& route) const {
  route.adjusted_at = clock_.Now();
  route.ended = 0;
  route.served_at_capacity = 0;
  route.rejected = 0;
  route.without_capacity = 0;
  route.with_free_slots = 0;
  route.arrived.fill(0);
}

/// Distributes the admitted share among the arrivals, most important first.
void CallThrottle::DistributeShare(RouteState& route) {
  const auto& arrived = route.arrived;
  double left =
      route.share * std::accumulate(arrived.begin(), arrived.end(), 0.0);
  for (std::size_t rank = 0; rank < kImportanceCount; ++rank) {
    const double wanted = arrived[rank];
    // An importance without arrivals in the interval is rare enough to be
    // admitted in full.
    const double part = wanted > 0 ? std::clamp(left / wanted, 0.0, 1.0) : 1;
    left -= part * wanted;
    route.admitted[rank] =
        std::max(part, kMinImportanceFraction * route.min_share);
  }
}

double CallThrottle::AdmittedShare(const std::string& name) const {
  const auto found = routes_.find(name);
  return found == routes_.end() ? 1 : found->second.share;
}

DownstreamOutcome CallThrottle::ReductionCause(const std::string& name) const {
  const auto found = routes_.find(name);
  return found == routes_.end() ? DownstreamOutcome::kServed
                                : found->second.cause;
}

bool CallThrottle::IsSuspended(const std::string& name) const {
  const auto found = routes_.find(name);
  return found != routes_.end() &&
         found->second.reduction_check.IsSuspended(clock_.Now());
}

std::map<std::string, double> CallThrottle::ThrottledShares() const {
  std::map<std::string, double> shares;
  for (const auto& [name, route] : routes_) {
    if (route.share < 1)
      shares[name] = route.share;
  }
  return shares;
}

}  // namespace yuccastair::admission
