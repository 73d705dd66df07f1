// Chooses the target of each attempt among the members of one service.

#ifndef YUCCASTAIR_ROUTING_ROUTER_H_
#define YUCCASTAIR_ROUTING_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sync.pb.h"
#include "yuccastair/routing/options.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::routing {

/// The outcome of an attempt, as evidence about the target.
enum class AttemptOutcome {
  /// The target returned a complete response.
  kServed,
  /// The node of the target rejected the call, which is not a failure.
  kRejected,
  kFailed,
  /// The node of the target is unreachable or does not reply. The target is
  /// ejected immediately.
  kUnreachable,
  /// The attempt was abandoned, which is no evidence about the target.
  kAbandoned,
};

/// The target of one attempt.
struct Choice {
  std::string node_id;
  std::string address;
  std::string availability_zone;
  /// The attempt is a half-open probe of an ejected target.
  bool probe = false;
  /// The values on which the choice is based: the number of eligible targets,
  /// and the load and the concurrency limit of the chosen one, in calls.
  std::uint32_t candidates = 0;
  double load = 0;
  double limit = 0;
};

/// A member to which a call cannot be sent, with the reason for the log.
struct ExcludedMember {
  std::string node_id;
  std::string reason;
};

/// Routes attempts to the targets of one service. Not thread-safe.
class Router {
 public:
  using Random = std::function<std::uint32_t(std::uint32_t bound)>;

  Router(const support::Clock& clock,
         Options options,
         std::string local_zone,
         Random random_below);

  void SetOptions(const Options& options) { options_ = options; }

  /// Sets the zones that operators have taken out of service: targets in
  /// \p zones_out get no calls, and those in \p zones_retiring are retiring.
  void SetZonesOut(std::set<std::string> zones_out,
                   std::set<std::string> zones_retiring = {}) {
    zones_out_ = std::move(zones_out);
    zones_retiring_ = std::move(zones_retiring);
  }

  /// Replaces the members. The state of a member is kept as long as the
  /// incarnation of its node stays the same.
  void SetMembers(const std::vector<wire::Member>& members);

  /// Chooses a target and counts an outstanding call to it. Nodes in \p tried
  /// are excluded. Every choice must be followed by one RecordOutcome().
  std::optional<Choice> Choose(bool idempotent,
                               const std::vector<std::string>& tried);

  /// Returns why each member is excluded from a choice that found no target.
  std::vector<ExcludedMember> ExplainExclusions(
      const std::vector<std::string>& tried) const;

  /// Returns whether no member accepts requests, regardless of load.
  bool HasNoUsableMember() const;

  /// Records the outcome of an attempt and the load that its reply reports.
  /// \p load may be null.
  void RecordOutcome(const Choice& choice,
                     AttemptOutcome outcome,
                     const wire::LoadReport* load);

  /// Returns whether each target that could take a call has recently reported
  /// that no slot is free and calls are queued. False if no target could.
  bool AllOverloaded() const;

  bool IsEjected(const std::string& node_id) const;

 private:
  struct Target {
    wire::Member member;
    // Calls of this process that have not ended.
    std::uint32_t outstanding = 0;
    std::optional<wire::LoadReport> report;
    support::TimePoint reported_at;
    std::uint32_t outstanding_at_report = 0;
    std::uint32_t consecutive_failures = 0;
    // Set while the target is ejected. It is excluded before this time and
    // probed afterwards.
    std::optional<support::TimePoint> ejected_until;
    std::uint32_t consecutive_ejections = 0;
    bool probing = false;
    std::uint32_t successful_probes = 0;
  };

  /// Targets that a choice may use, by preference.
  struct Candidates {
    std::vector<Target*> local_zone;
    std::vector<Target*> other_zones;
    std::vector<Target*> retiring;
    std::vector<Target*> ejected;
    std::vector<Target*> at_ramp_limit;
    /// An ejected target whose probe is due; null if there is none.
    Target* probe = nullptr;
  };

  Candidates FindCandidates(bool idempotent,
                            const std::vector<std::string>& tried);
  wire::TargetState CurrentState(const Target& target) const;
  bool IsZoneOut(const Target& target) const;
  bool Accepts(const Target& target) const;
  /// Returns whether a target that accepts calls is to get only those that no
  /// other target has room for.
  bool IsRetiring(const Target& target) const;
  /// Returns whether a cold target has reached its reported limit.
  bool IsAtRampLimit(const Target& target) const;
  bool IsProbeDue(const Target& target, bool idempotent) const;
  double Load(const Target& target) const;
  double Limit(const Target& target) const;
  double Score(const Target& target) const;
  Target* BestOfTwo(const std::vector<Target*>& targets) const;
  Choice Take(Target& target, bool probe, std::size_t candidates);
  void OnFailure(Target& target, bool eject_immediately);
  void Eject(Target& target);
  support::Duration EjectionDuration(const Target& target) const;

  const support::Clock& clock_;
  Options options_;
  const std::string local_zone_;
  const Random random_below_;
  std::set<std::string> zones_out_;
  std::set<std::string> zones_retiring_;
  // By node id.
  std::map<std::string, Target> targets_;
};

}  // namespace yuccastair::routing

#endif  // YUCCASTAIR_ROUTING_ROUTER_H_
