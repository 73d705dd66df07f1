// Power of two choices with zone preference and outlier ejection.

#include "yuccastair/routing/router.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace yuccastair::routing {
namespace {

using std::chrono::milliseconds;

// Assumed limit of a target that has not reported one yet, so that the first
// calls are distributed over all members.
constexpr double kDefaultLimit = 16;
constexpr double kDefaultColdLimit = 1;
constexpr milliseconds kMaxOverloadReportAge{1000};
// Age up to which a reported state takes precedence over the member list. The
// control processes propagate a state change within this time.
constexpr milliseconds kMaxReportedStateAge{3000};
// If no idempotent call arrives, any call may probe after this multiple of the
// ejection time. A failed probe by a non-idempotent call ends with an unknown
// outcome, but otherwise a service without idempotent calls would never
// recover.
constexpr int kAnyCallProbeDelayFactor = 3;
constexpr std::uint32_t kMaxEjectionDoublings = 10;

}  // namespace

Router::Router(const support::Clock& clock,
               Options options,
               std::string local_zone,
               Random random_below)
    : clock_(clock),
      options_(options),
      local_zone_(std::move(local_zone)),
      random_below_(std::move(random_below)) {}

void Router::SetMembers(const std::vector<wire::Member>& members) {
  std::set<std::string> present;
  for (const wire::Member& member : members) {
    present.insert(member.node_id());
    Target& target = targets_[member.node_id()];
    // A restarted node keeps no state, so its former records are discarded.
    if (target.member.incarnation() != member.incarnation())
      target = Target();
    else if (target.member.state() != member.state() && target.report)
      target.report->set_state(member.state());
    target.member = member;
  }
  for (auto it = targets_.begin(); it != targets_.end();)
    it = present.count(it->first) > 0 ? std::next(it) : targets_.erase(it);
}

/// Returns the reported state of a target, or the one of the member list if the
/// report is stale: the drain or outage that it states may have ended since.
wire::TargetState Router::CurrentState(const Target& target) const {
  const bool recent =
      target.report && clock_.Now() - target.reported_at < kMaxReportedStateAge;
  return recent ? target.report->state() : target.member.state();
}

bool Router::IsZoneOut(const Target& target) const {
  return zones_out_.count(target.member.availability_zone()) > 0;
}

bool Router::Accepts(const Target& target) const {
  if (IsZoneOut(target))
    return false;
  const wire::TargetState state = CurrentState(target);
  return state == wire::TARGET_STATE_UP || state == wire::TARGET_STATE_COLD ||
         state == wire::TARGET_STATE_RETIRING;
}

bool Router::IsRetiring(const Target& target) const {
  return CurrentState(target) == wire::TARGET_STATE_RETIRING ||
         zones_retiring_.contains(target.member.availability_zone());
}

bool Router::IsAtRampLimit(const Target& target) const {
  return CurrentState(target) == wire::TARGET_STATE_COLD &&
         Load(target) >= Limit(target);
}

std::vector<ExcludedMember> Router::ExplainExclusions(
    const std::vector<std::string>& tried) const {
  std::vector<ExcludedMember> excluded;
  for (const auto& [node_id, target] : targets_) {
    std::string reason = "at its ramp limit";
    if (std::find(tried.begin(), tried.end(), node_id) != tried.end())
      reason = "tried";
    else if (IsZoneOut(target))
      reason = "zone out of service";
    else if (!Accepts(target))
      reason = wire::TargetState_Name(CurrentState(target));
    excluded.push_back({node_id, reason});
  }
  return excluded;
}

bool Router::HasNoUsableMember() const {
  return std::none_of(targets_.begin(), targets_.end(),
                      [&](const auto& entry) { return Accepts(entry.second); });
}

bool Router::IsProbeDue(const Target& target, bool idempotent) const {
  if (target.probing || clock_.Now() < *target.ejected_until)
    return false;
  return idempotent ||
         clock_.Now() >= *target.ejected_until + kAnyCallProbeDelayFactor *
                                                     EjectionDuration(target);
}

double Router::Load(const Target& target) const {
  const double own = target.outstanding;
  if (!target.report)
    return own;
  const std::chrono::duration<double, std::milli> age =
      clock_.Now() - target.reported_at;
  const double half_lives =
      age.count() / static_cast<double>(options_.report_half_life.count());
  const double reported = target.report->running() + target.report->queued();
  const double since = std::max(0.0, own - target.outstanding_at_report);
  return std::max(own, reported * std::exp2(-half_lives) + since);
}

double Router::Limit(const Target& target) const {
  if (target.report && target.report->limit() > 0)
    return target.report->limit();
  if (target.member.limit() > 0)
    return target.member.limit();
  return target.member.state() == wire::TARGET_STATE_COLD ? kDefaultColdLimit
                                                          : kDefaultLimit;
}

double Router::Score(const Target& target) const {
  return (Load(target) + 1) / Limit(target);
}

Router::Target* Router::BestOfTwo(const std::vector<Target*>& targets) const {
  if (targets.empty())
    return nullptr;
  const auto count = static_cast<std::uint32_t>(targets.size());
  const std::uint32_t first = random_below_(count);
  if (count == 1)
    return targets[first];
  std::uint32_t second = random_below_(count - 1);
  if (second >= first)
    ++second;
  return Score(*targets[second]) < Score(*targets[first]) ? targets[second]
                                                          : targets[first];
}

Router::Candidates Router::FindCandidates(
    bool idempotent,
    const std::vector<std::string>& tried) {
  Candidates found;
  for (auto& [node_id, target] : targets_) {
    if (std::find(tried.begin(), tried.end(), node_id) != tried.end() ||
        !Accepts(target))
      continue;
    if (IsAtRampLimit(target)) {
      found.at_ramp_limit.push_back(&target);
    } else if (target.ejected_until) {
      if (found.probe == nullptr && IsProbeDue(target, idempotent))
        found.probe = &target;
      found.ejected.push_back(&target);
    } else if (IsRetiring(target)) {
      found.retiring.push_back(&target);
    } else if (options_.prefer_local_zone &&
               target.member.availability_zone() == local_zone_) {
      found.local_zone.push_back(&target);
    } else {
      found.other_zones.push_back(&target);
    }
  }
  return found;
}

std::optional<Choice> Router::Choose(bool idempotent,
                                     const std::vector<std::string>& tried) {
  const Candidates found = FindCandidates(idempotent, tried);
  if (found.probe != nullptr)
    return Take(*found.probe, true, 1);
  Target* chosen = BestOfTwo(found.local_zone);
  const auto prefer = [&](Target* other) {
    if (other != nullptr &&
        (chosen == nullptr || Score(*other) < Score(*chosen)))
      chosen = other;
  };
  if (chosen == nullptr || Score(*chosen) > options_.local_zone_max_utilisation)
    prefer(BestOfTwo(found.other_zones));
  if (chosen == nullptr || Score(*chosen) > options_.retiring_min_utilisation)
    prefer(BestOfTwo(found.retiring));
  // Uses an ejected target rather than none.
  if (chosen == nullptr)
    chosen = BestOfTwo(found.ejected);
  // The node of a cold target enforces the ramp and sheds by importance, which
  // a rejection here would ignore. A retry does not add to its queue.
  if (chosen == nullptr && tried.empty())
    chosen = BestOfTwo(found.at_ramp_limit);
  if (chosen == nullptr)
    return std::nullopt;
  const std::size_t candidates = found.local_zone.size() +
                                 found.other_zones.size() +
                                 found.retiring.size();
  return Take(*chosen, false, std::max(candidates, found.ejected.size()));
}

Choice Router::Take(Target& target, bool probe, std::size_t candidates) {
  Choice choice;
  choice.node_id = target.member.node_id();
  choice.address = target.member.address();
  choice.availability_zone = target.member.availability_zone();
  choice.probe = probe;
  choice.candidates = static_cast<std::uint32_t>(candidates);
  choice.load = Load(target);
  choice.limit = Limit(target);
  target.probing = target.probing || probe;
  ++target.outstanding;
  return choice;
}

void Router::RecordOutcome(const Choice& choice,
                           AttemptOutcome outcome,
                           const wire::LoadReport* load) {
  const auto found = targets_.find(choice.node_id);
  if (found == targets_.end())
    return;
  Target& target = found->second;
  if (target.outstanding > 0)
    --target.outstanding;
  if (choice.probe)
    target.probing = false;
  if (load != nullptr && load->limit() > 0) {
    target.report = *load;
    target.reported_at = clock_.Now();
    target.outstanding_at_report = target.outstanding;
  }
  switch (outcome) {
    case AttemptOutcome::kServed:
      target.consecutive_failures = 0;
      if (choice.probe && ++target.successful_probes >=
                              options_.successful_probes_to_reinstate) {
        target.ejected_until.reset();
        target.consecutive_ejections = 0;
      }
      return;
    case AttemptOutcome::kFailed:
      OnFailure(target, choice.probe);
      return;
    case AttemptOutcome::kUnreachable:
      OnFailure(target, true);
      return;
    case AttemptOutcome::kRejected:
    case AttemptOutcome::kAbandoned:
      return;
  }
}

void Router::OnFailure(Target& target, bool eject_immediately) {
  ++target.consecutive_failures;
  if (!eject_immediately &&
      target.consecutive_failures < options_.consecutive_failures_to_eject)
    return;
  // A call that started before the ejection does not extend it.
  if (target.ejected_until && clock_.Now() < *target.ejected_until)
    return;
  Eject(target);
}

void Router::Eject(Target& target) {
  const auto ejected =
      std::count_if(targets_.begin(), targets_.end(), [&](const auto& entry) {
        return &entry.second != &target && entry.second.ejected_until;
      });
  // One of two targets may always be ejected; otherwise a stopped target would
  // keep its share of the calls.
  const double allowed =
      targets_.size() < 2
          ? 0
          : std::max(1.0, options_.max_ejected_share *
                              static_cast<double>(targets_.size()));
  if (static_cast<double>(ejected + 1) > allowed)
    return;
  ++target.consecutive_ejections;
  target.consecutive_failures = 0;
  target.successful_probes = 0;
  target.ejected_until = clock_.Now() + EjectionDuration(target);
}

support::Duration Router::EjectionDuration(const Target& target) const {
  const std::uint32_t doublings = std::min(
      target.consecutive_ejections > 0 ? target.consecutive_ejections - 1 : 0,
      kMaxEjectionDoublings);
  return std::min(options_.initial_ejection_time * (1 << doublings),
                  options_.max_ejection_time);
}

bool Router::AllOverloaded() const {
  bool any = false;
  for (const auto& [node_id, target] : targets_) {
    if (target.ejected_until || !Accepts(target))
      continue;
    any = true;
    if (!target.report ||
        clock_.Now() - target.reported_at > kMaxOverloadReportAge ||
        target.report->running() < target.report->limit() ||
        target.report->queued() == 0)
      return false;
  }
  return any;
}

bool Router::IsEjected(const std::string& node_id) const {
  const auto found = targets_.find(node_id);
  return found != targets_.end() && found->second.ejected_until.has_value();
}

}  // namespace yuccastair::routing
