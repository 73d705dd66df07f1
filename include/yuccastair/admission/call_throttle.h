// Throttles requests whose downstream calls are rejected.

#ifndef YUCCASTAIR_ADMISSION_CALL_THROTTLE_H_
#define YUCCASTAIR_ADMISSION_CALL_THROTTLE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "call.pb.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::admission {

/// The combined outcome of the calls that an admitted request has made, from
/// best to worst: of several calls the greatest value counts. Relays exchange
/// the numeric values.
enum class CallsEnd : std::uint8_t {
  kServed,
  /// All were served, at least one by a target with calls still queued.
  kServedByFull,
  /// One was rejected or missed its deadline, for any reason.
  kRefused,
  /// One was rejected because its service has no capacity.
  kNoRoom,
};

/// Reacts to overload of a downstream service that the local target calls. A
/// request that is admitted here and loses a call there uses slots and calls
/// without a result, so it is rejected before it starts.
///
/// Admits a share of the new requests of each route, the most important ones
/// first. The share follows the fraction of the admitted requests whose calls
/// were all served. A route whose requests all need a service without a target
/// waits for that service instead: its return is known without a trial request.
/// Not thread-safe.
class CallThrottle {
 public:
  /// Admitted requests for each request whose calls are served, where calls are
  /// rejected for reasons that may be unrelated to load. Such rejections do not
  /// throttle while more than 1 / kHeadroom of the requests succeed.
  static constexpr double kHeadroom = 1.5;
  /// The same where most of the rejected calls found no capacity. The part
  /// above 1 keeps the downstream service fully used and lets the share grow
  /// again, but those requests fail. The headroom is smallest at a share near 0
  /// and greater by kHeadroomOfShare at a share of 1.
  static constexpr double kHeadroomWithoutRoom = 1.15;
  static constexpr double kHeadroomOfShare = 0.3;
  /// Minimum number of requests of a route that are admitted each second, so
  /// that no route is starved and the end of an outage is detected.
  static constexpr double kProbesPerSecond = 1;
  /// Minimum share of a route. With many requests it detects the end of an
  /// outage sooner than kProbesPerSecond.
  static constexpr double kLeastShare = 0.04;
  /// Minimum share of one importance, as a fraction of the minimum share of the
  /// route, so that less important requests are not starved.
  static constexpr double kLeastOfImportance = 0.5;
  /// Minimum time between two adjustments of a share. Within it the calls of
  /// most requests have been answered.
  static constexpr std::chrono::milliseconds kInterval{400};
  /// Ended requests that an adjustment needs before kLongestInterval has
  /// passed. Afterwards one is enough, so that recovery does not take longer on
  /// a target that gets fewer requests.
  static constexpr std::uint32_t kLeastEnded = 6;
  static constexpr std::chrono::milliseconds kLongestInterval{500};
  /// Consecutive requests that lose a call to a service without targets before
  /// their route waits for that service.
  static constexpr std::uint32_t kMissingToWait = 6;
  /// A waiting route admits one request in this time, because the route may
  /// have got requests that do not need the service.
  static constexpr std::chrono::seconds kProbeOfWaiting{5};
  /// Minimum share of a route when its service has a target again. It is below
  /// 1 because the first targets may be few or cold.
  static constexpr double kShareOfReturn = 0.5;

  explicit CallThrottle(const support::Clock& clock) : clock_(clock) {}

  /// Returns whether a service has a target in service according to local
  /// knowledge. If it is not set, routes never wait for a service.
  std::function<bool(const std::string& service)> has_target;

  /// Returns whether a new request may enter the queue of the target.
  bool Admit(const std::string& route, wire::Importance importance);

  /// Records the outcome of an admitted request that the target has answered.
  /// \p missing_service is the service without targets to which the request
  /// lost a call; empty if none.
  void OnEnd(const std::string& route,
             CallsEnd end,
             const std::string& missing_service = "");

  /// Returns the service without targets that \p route waits for; empty if
  /// none.
  std::string MissingServiceOf(const std::string& route) const;

  /// Returns the share of the new requests of \p route that is admitted now, in
  /// [0, 1].
  double ShareOf(const std::string& route) const;

 private:
  static constexpr std::size_t kImportances = wire::Importance_ARRAYSIZE;

  struct Route {
    // Admitted share, in [least, 1].
    double share = 1;
    // The share that admits kProbesPerSecond; at least kLeastShare.
    double least = kLeastShare;
    // Consecutive adjustments after intervals in which the calls found
    // capacity, and after intervals with rejections. At least one of the two is
    // 0.
    std::uint32_t clean = 0;
    std::uint32_t reduced = 0;
    support::TimePoint changed_at;
    // Empty unless the route waits for a service.
    std::string missing_service;
    std::uint32_t missing_in_a_row = 0;
    support::TimePoint probe_at;
    // Counts since the last adjustment.
    std::uint32_t ended = 0;
    std::uint32_t served_by_full = 0;
    std::uint32_t refused = 0;
    std::uint32_t without_room = 0;
    std::array<std::uint32_t, kImportances> arrived{};
    // Admitted fraction of each importance, and the credit accumulated by its
    // arrivals. An arrival is admitted when the credit reaches 1.
    std::array<double, kImportances> admitted{};
    std::array<double, kImportances> credit{};
  };

  bool HasTarget(const std::string& service) const {
    return !has_target || has_target(service);
  }
  bool AdmitWaiting(Route& route) const;
  void NoteMissing(Route& route,
                   CallsEnd end,
                   const std::string& missing_service) const;
  bool IsChangeDue(const Route& route) const;
  void Change(Route& route) const;
  void ResetInterval(Route& route) const;
  static double HeadroomOf(const Route& route);
  /// Returns the factor by which the share is multiplied.
  static double Factor(Route& route);
  static void Spread(Route& route);

  const support::Clock& clock_;
  std::unordered_map<std::string, Route> routes_;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_CALL_THROTTLE_H_
