// What this node knows of the services that it calls.

#ifndef YUCCASTAIR_MEMBERSHIP_FLEET_VIEW_H_
#define YUCCASTAIR_MEMBERSHIP_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "envelope.pb.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::membership {

/// The members of the followed services, as the control processes report them.
///
/// A service is followed from the first call to it on. The last known members
/// stay while no control process answers.
class FleetView {
 public:
  /// Returns the members of \p service and follows it from now on.
  std::vector<wire::Member> MembersOf(const std::string& service);

  /// Adds the followed services to \p request.
  void FillRequest(wire::SyncRequest& request) const;

  /// Applies the reply to the request that FillRequest() filled last. A change
  /// that does not continue what is held is ignored, and the next request asks
  /// for the whole list.
  void Apply(const wire::SyncReply& reply);

  /// Returns whether a followed service has not been reported yet.
  bool HasUnknownService() const;

  /// Returns whether the whole membership of \p service has been reported.
  bool IsKnown(const std::string& service) const;

  /// Returns how long ago a control process last answered; nothing if none
  /// ever did.
  std::optional<support::Duration> Age() const;

 private:
  struct Service {
    // 0 until the first complete report.
    std::uint64_t revision = 0;
    // Whether any report has come.
    bool reported = false;
    std::map<std::string, wire::Member> members;
  };

  static void ApplyTo(Service& service, const wire::ServiceMembers& report);

  const support::SteadyClock clock_{};
  mutable std::mutex mutex_;
  std::map<std::string, Service> services_;
  std::optional<support::TimePoint> applied_at_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_FLEET_VIEW_H_
