// Throttles requests whose downstream calls are rejected.

#ifndef YUCCASTAIR_ADMISSION_CALL_THROTTLE_H_
#define YUCCASTAIR_ADMISSION_CALL_THROTTLE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "call.pb.h"
#include "yuccastair/admission/reduction_check.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::admission {

/// The combined outcome of the calls that an admitted request has made, from
/// best to worst: of several calls the greatest value counts.
enum class DownstreamOutcome : std::uint8_t {
  kServed,
  /// All were served, at least one by a target with calls still queued.
  kServedAtCapacity,
  /// One was rejected by targets that had free slots, so that fewer requests
  /// would not have helped.
  kRejectedWithFreeSlots,
  /// One was rejected or missed its deadline, for any reason.
  kRejected,
  /// One was rejected because its service has no capacity.
  kNoCapacity,
};

/// What a request that is started and fails costs its caller, compared with one
/// that is rejected.
enum class RequestKind : std::uint8_t {
  /// Its caller may repeat it.
  kRepeatable,
  /// Its caller may repeat it only if it was rejected before it started.
  kUnrepeatable,
};

/// Reacts to overload of a downstream service that the local target calls. A
/// request that is admitted here and loses a call there uses slots and calls
/// without a result, so it is rejected before it starts.
///
/// Admits a share of the new requests of each route, the most important ones
/// first. The share follows the fraction of the admitted requests whose calls
/// were all served. Rejections that fewer requests cannot end do not reduce the
/// share of repeatable requests: those that succeed would be lost. The share of
/// unrepeatable requests follows every rejection. A route whose requests all
/// need a service without a target waits for that service instead: its return
/// is known without a trial request. It waits from the first request on if the
/// need of the route is known. Not thread-safe.
class CallThrottle {
 public:
  /// Admitted requests for each request whose calls are served, where calls are
  /// rejected for reasons that may be unrelated to load. Such rejections do not
  /// throttle while more than 1 / kHeadroom of the requests succeed.
  static constexpr double kHeadroom = 1.5;
  /// The same where most of the rejected calls found no capacity. The part
  /// above 1 keeps the downstream service fully used and lets the share grow
  /// again, but those requests fail. The headroom is smallest at a share near 0
  /// and greater by kNoCapacityHeadroomGrowth at a share of 1.
  static constexpr double kNoCapacityHeadroom = 1.15;
  static constexpr double kNoCapacityHeadroomGrowth = 0.3;
  /// Minimum number of requests of a route that are admitted each second, so
  /// that no route is starved and the end of an outage is detected.
  static constexpr double kMinRequestsPerSecond = 1;
  /// Minimum share of a route. With many requests it detects the end of an
  /// outage sooner than kMinRequestsPerSecond.
  static constexpr double kMinShare = 0.04;
  /// Minimum share of one importance, as a fraction of the minimum share of the
  /// route, so that less important requests are not starved.
  static constexpr double kMinImportanceFraction = 0.5;
  /// Minimum time between two adjustments of a share. Within it the calls of
  /// most requests have been answered.
  static constexpr std::chrono::milliseconds kMinAdjustmentInterval{400};
  /// Ended requests that an adjustment needs before kMaxAdjustmentInterval has
  /// passed. Afterwards one is enough, so that recovery does not take longer on
  /// a target that gets fewer requests.
  static constexpr std::uint32_t kMinEndedRequests = 6;
  static constexpr std::chrono::milliseconds kMaxAdjustmentInterval{500};
  /// Consecutive requests that lose a call to a service without targets before
  /// their route waits for that service.
  static constexpr std::uint32_t kMissesBeforeWaiting = 6;
  /// A waiting route admits one request in this time, because the route may
  /// have got requests that do not need the service.
  static constexpr std::chrono::seconds kWaitingProbeInterval{5};
  /// Minimum share of a route when its service has a target again. It is below
  /// 1 because the first targets may be few or cold.
  static constexpr double kMinShareOnReturn = 0.5;

  /// Consecutive calls on a route that are served, whichever requests make
  /// them, until rejections with free slots are taken to be over.
  static constexpr std::uint32_t kServedCallsOfRecovery = 24;
  /// Minimum time between two such returns of a route. The calls of other
  /// requests may be served though its own are not.
  static constexpr std::chrono::seconds kMinRecoveryInterval{8};

  explicit CallThrottle(const support::Clock& clock) : clock_(clock) {}

  /// Returns whether a service has a target in service according to local
  /// knowledge. If it is not set, routes never wait for a service.
  std::function<bool(const std::string& service)> has_target;

  /// Returns whether a target of a service is known to be in service. Unlike
  /// has_target, false as long as the targets of the service are unknown. Equal
  /// to has_target if it is not set.
  std::function<bool(const std::string& service)> knows_target;

  /// Services that the requests of routes need, by route.
  using RouteNeeds = std::unordered_map<std::string, std::string>;

  /// Replaces what the fleet knows about the needs of routes.
  void SetKnownNeeds(RouteNeeds needs);

  /// Returns what was learnt here and is not among the known needs. An empty
  /// service states that requests of the route are served without the service
  /// that it is known to need.
  const RouteNeeds& learnt_needs() const { return learnt_needs_; }

  /// Returns whether a new request may enter the queue of the target.
  bool Admit(const std::string& route, wire::Importance importance);

  /// Records the outcome of a call on \p call_route that a request of \p route
  /// has made, which need not be a request of a caller.
  void OnCallEnd(const std::string& route,
                 const std::string& call_route,
                 DownstreamOutcome outcome);

  /// Records the outcome of an admitted request that the target has answered.
  /// \p missing_service is the service without targets to which the request
  /// lost a call; empty if none.
  void OnRequestEnd(const std::string& route,
                    DownstreamOutcome outcome,
                    const std::string& missing_service = "",
                    RequestKind kind = RequestKind::kRepeatable);

  /// Returns the service without targets that \p route waits for; empty if
  /// none.
  std::string MissingService(const std::string& route) const;

  /// Returns the share of the new requests of \p route that is admitted now, in
  /// [0, 1].
  double AdmittedShare(const std::string& route) const;

  /// Returns the most frequent cause of the rejections that have last reduced
  /// the share of \p route; kServed if none has.
  DownstreamOutcome ReductionCause(const std::string& route) const;

  /// Returns whether reductions of \p route are suspended because they have not
  /// helped.
  bool IsSuspended(const std::string& route) const;

  /// Returns the admitted shares of the routes that are not admitted in full.
  std::map<std::string, double> ThrottledShares() const;

 private:
  static constexpr std::size_t kImportanceCount = wire::Importance_ARRAYSIZE;

  struct RouteState {
    // Admitted share, in [min_share, 1].
    double share = 1;
    // The share that admits one request per second.
    double share_of_one = 0;
    // The share that admits kMinRequestsPerSecond; at least kMinShare.
    double min_share = kMinShare;
    // Consecutive adjustments after intervals in which the calls found
    // capacity, and after intervals with rejections. At least one of the two is
    // 0.
    std::uint32_t clear_intervals = 0;
    std::uint32_t rejecting_intervals = 0;
    support::TimePoint adjusted_at;
    RequestKind kind = RequestKind::kRepeatable;
    ReductionCheck reduction_check;
    // The most frequent cause of the rejections that last reduced the share. If
    // the targets had free slots, the requests held back find room.
    DownstreamOutcome cause = DownstreamOutcome::kServed;
    // The route of the call that was last rejected so; empty if none.
    std::string rejected_call;
    support::TimePoint next_recovery_at{};
    // Empty unless the route waits for a service.
    std::string missing_service;
    // Whether requests that end tell nothing about the wait, because it began
    // by a known need and none has been admitted since.
    bool awaits_first_probe = false;
    std::uint32_t consecutive_misses = 0;
    support::TimePoint probe_at;
    // Counts since the last adjustment.
    std::uint32_t ended = 0;
    std::uint32_t served_at_capacity = 0;
    // All rejections, and two causes of them.
    std::uint32_t rejected = 0;
    std::uint32_t without_capacity = 0;
    std::uint32_t with_free_slots = 0;
    std::array<std::uint32_t, kImportanceCount> arrived{};
    // Admitted fraction of each importance, and the credit accumulated by its
    // arrivals. An arrival is admitted when the credit reaches 1.
    std::array<double, kImportanceCount> admitted{};
    std::array<double, kImportanceCount> credit{};
  };

  bool HasTarget(const std::string& service) const {
    return !has_target || has_target(service);
  }
  bool KnowsTarget(const std::string& service) const {
    return knows_target ? knows_target(service) : HasTarget(service);
  }
  /// Makes a route wait for the service that it is known to need, if that has
  /// no target.
  void WaitForKnownNeed(const std::string& name);
  bool AdmitWhileWaiting(RouteState& route) const;
  void OnMissingService(const std::string& name,
                        RouteState& route,
                        DownstreamOutcome outcome,
                        const std::string& missing_service);
  void RestoreIfRecovered(RouteState& route) const;
  bool IsAdjustmentDue(const RouteState& route) const;
  void AdjustShare(RouteState& route) const;
  void ResetInterval(RouteState& route) const;
  /// Returns the requests since the last adjustment that tell whether the share
  /// is right.
  static ReductionCheck::Interval RelevantRequests(const RouteState& route);
  static double Headroom(const RouteState& route);
  static double GrowthFactor(RouteState& route, bool at_capacity);
  /// Returns the factor by which the share is multiplied.
  static double ShareFactor(RouteState& route);
  static DownstreamOutcome CauseOfRejections(const RouteState& route);
  /// Returns the share after rejections that may be unrelated to load.
  double CheckedShare(RouteState& route, double share) const;
  static void DistributeShare(RouteState& route);

  const support::Clock& clock_;
  std::unordered_map<std::string, RouteState> routes_;
  // Consecutive calls that were served, by their route, for routes of which
  // calls have been rejected; up to kServedCallsOfRecovery.
  std::unordered_map<std::string, std::uint32_t> served_calls_;
  RouteNeeds known_needs_;
  RouteNeeds learnt_needs_;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_CALL_THROTTLE_H_
