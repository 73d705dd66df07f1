// Holds back requests whose calls are turned away further down.

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

/// What became of the calls that an admitted request has made, from best to
/// worst: of several calls the greatest value counts. Relays tell each other
/// the numbers.
enum class CallsEnd : std::uint8_t {
  kServed,
  /// All were served, and one by a target on which others still waited.
  kServedByFull,
  /// One was turned away or came too late, for whatever reason.
  kRefused,
  /// One was turned away because its service has no room.
  kNoRoom,
};

/// Answers overload of a service that is called by the own target: a request
/// that is admitted here and loses one of its calls there has cost slots and
/// calls and gives nothing, so it is better refused before it begins.
///
/// Admits a share of the new requests of each route, the most important ones
/// first. The share follows the part of the admitted requests whose calls were
/// all served. A route whose requests all need a service without any target
/// waits for that service instead, since nothing has to be tried to see that it
/// is back. Not safe for use by several threads.
class CallThrottle {
 public:
  /// Admitted requests for each one whose calls are served, where calls are
  /// refused for reasons that may have nothing to do with load: these throttle
  /// nothing while more than 1 / kHeadroom of the requests succeed.
  static constexpr double kHeadroom = 1.5;
  /// The same where most of the refused calls found no room. What exceeds 1
  /// keeps the deep service full and lets the share grow again, but is started
  /// in vain. It is least where few requests can be served, and
  /// kHeadroomOfShare more at a share of 1.
  static constexpr double kHeadroomWithoutRoom = 1.15;
  static constexpr double kHeadroomOfShare = 0.3;
  /// Requests of a route that are admitted each second at least, so that no
  /// route is starved and the end of an outage is seen.
  static constexpr double kProbesPerSecond = 1;
  /// Least share of a route with many requests, which shows that end sooner.
  static constexpr double kLeastShare = 0.04;
  /// Least share of one importance, as part of the least share of the route:
  /// the less important requests are not starved while the share goes to the
  /// others.
  static constexpr double kLeastOfImportance = 0.5;
  /// Time between two changes of a share: the calls of most requests have been
  /// answered by then.
  static constexpr std::chrono::milliseconds kInterval{400};
  /// Ended requests that a change needs before kLongestInterval has passed.
  /// Afterwards one is enough: the time to return must not grow as a target
  /// gets fewer requests.
  static constexpr std::uint32_t kLeastEnded = 6;
  static constexpr std::chrono::milliseconds kLongestInterval{500};
  /// Requests in a row that have lost a call to a service without targets,
  /// before their route waits for it.
  static constexpr std::uint32_t kMissingToWait = 6;
  /// Of a route that waits, one request is admitted in this time: requests that
  /// do not need the service may have come up.
  static constexpr std::chrono::seconds kProbeOfWaiting{5};
  /// Least share of a route whose service has a target again. The first targets
  /// may be few or cold.
  static constexpr double kShareOfReturn = 0.5;

  explicit CallThrottle(const support::Clock& clock) : clock_(clock) {}

  /// Tells whether a service has a target in service, as far as is known here.
  /// Routes wait for no service if this is not set.
  std::function<bool(const std::string& service)> has_target;

  /// Returns whether a new request may go on to the queue of the target.
  bool Admit(const std::string& route, wire::Importance importance);

  /// An admitted request has been answered by the target. \p missing_service is
  /// the service without targets to which it has lost a call; empty if none.
  void OnEnd(const std::string& route,
             CallsEnd end,
             const std::string& missing_service = "");

  /// The service without targets that \p route waits for; empty if none.
  std::string MissingServiceOf(const std::string& route) const;

  /// The share of the new requests of \p route that is admitted now.
  double ShareOf(const std::string& route) const;

 private:
  static constexpr std::size_t kImportances = wire::Importance_ARRAYSIZE;

  struct Route {
    // In [least, 1].
    double share = 1;
    // The share that admits kProbesPerSecond; at least kLeastShare.
    double least = kLeastShare;
    // Changes in a row before which the calls found room, and before which
    // something was refused; one of them is 0.
    std::uint32_t clean = 0;
    std::uint32_t reduced = 0;
    support::TimePoint changed_at;
    // Empty unless the route waits for a service.
    std::string missing_service;
    std::uint32_t missing_in_a_row = 0;
    support::TimePoint probe_at;
    // Since the last change.
    std::uint32_t ended = 0;
    std::uint32_t served_by_full = 0;
    std::uint32_t refused = 0;
    std::uint32_t without_room = 0;
    std::array<std::uint32_t, kImportances> arrived{};
    // Part of each importance that is admitted, and what is left over from
    // earlier arrivals; an arrival is admitted when that reaches 1.
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
  /// Returns by how much the share is multiplied.
  static double Factor(Route& route);
  static void Spread(Route& route);

  const support::Clock& clock_;
  std::unordered_map<std::string, Route> routes_;
};

}  // namespace yuccastair::admission

#endif  // YUCCASTAIR_ADMISSION_CALL_THROTTLE_H_
