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

/// How an attempt ended, as far as it says something about the target.
enum class AttemptEnd {
  /// The target's complete response.
  kServed,
  /// Its node rejected the call, which is no failure.
  kRejected,
  kFailed,
  /// Its node cannot be reached or does not answer: ejected at once.
  kSilent,
  /// Says nothing about the target.
  kAbandoned,
};

struct Choice {
  std::string node_id;
  std::string address;
  /// The attempt is a probe of an ejected target.
  bool probe = false;
  /// The numbers behind the choice.
  std::uint32_t candidates = 0;
  double load = 0;
  double limit = 0;
};

/// A member that a call cannot be sent to, for the log.
struct Excluded {
  std::string node_id;
  std::string reason;
};

/// Routing to one service. Not safe for use by several threads.
class Router {
 public:
  using Random = std::function<std::uint32_t(std::uint32_t bound)>;

  Router(const support::Clock& clock,
         Options options,
         std::string own_zone,
         Random random_below);

  void SetOptions(const Options& options) { options_ = options; }

  /// Zones that operators have taken out of service.
  void SetZonesOut(std::set<std::string> zones) {
    zones_out_ = std::move(zones);
  }

  /// Takes over the present members. What is known of a member is kept while
  /// its node runs.
  void SetMembers(const std::vector<wire::Member>& members);

  /// Chooses a target and counts an outstanding call to it. Nodes in \p tried
  /// are left out. Every choice is followed by one End().
  std::optional<Choice> Choose(bool idempotent,
                               const std::vector<std::string>& tried);

  /// Returns why each member is left out of a choice that found none.
  std::vector<Excluded> ExplainNone(
      const std::vector<std::string>& tried) const;

  /// Returns whether no member takes requests, whatever its load.
  bool HasNoUsableMember() const;

  /// \p load may be null.
  void End(const Choice& choice, AttemptEnd end, const wire::LoadReport* load);

  /// Returns whether each target that could take a call has recently reported
  /// that it has no slot and a queue.
  bool AllOverloaded() const;

  bool IsEjected(const std::string& node_id) const;

 private:
  struct Target {
    wire::Member member;
    // Calls of this node that have not ended.
    std::uint32_t outstanding = 0;
    std::optional<wire::LoadReport> report;
    support::TimePoint reported_at;
    std::uint32_t outstanding_at_report = 0;
    std::uint32_t failures_in_a_row = 0;
    // Ejected targets are left out until then and probed afterwards.
    std::optional<support::TimePoint> ejected_until;
    std::uint32_t ejections = 0;
    bool probing = false;
    std::uint32_t good_probes = 0;
  };

  wire::TargetState StateOf(const Target& target) const;
  bool IsZoneOut(const Target& target) const;
  bool Accepts(const Target& target) const;
  /// Returns whether a cold target has all the load that it reports to bear.
  bool BeyondRamp(const Target& target) const;
  bool ProbeDue(const Target& target, bool idempotent) const;
  double Load(const Target& target) const;
  double Limit(const Target& target) const;
  double Score(const Target& target) const;
  Target* BestOfTwo(const std::vector<Target*>& targets) const;
  Choice Take(Target& target, bool probe, std::size_t candidates);
  void Fail(Target& target, bool at_once);
  void Eject(Target& target);
  support::Duration EjectionTime(const Target& target) const;

  const support::Clock& clock_;
  Options options_;
  const std::string own_zone_;
  const Random random_below_;
  std::set<std::string> zones_out_;
  // By node id.
  std::map<std::string, Target> targets_;
};

}  // namespace yuccastair::routing

#endif  // YUCCASTAIR_ROUTING_ROUTER_H_
