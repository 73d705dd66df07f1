// The membership of the services that a process calls, as last reported.

#ifndef YUCCASTAIR_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define YUCCASTAIR_MEMBERSHIP_MEMBERSHIP_VIEW_H_

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
/// A service is followed from the first lookup of its members on. The last
/// known members stay in use while no control process replies. Safe for use by
/// several threads.
class MembershipView {
 public:
  /// Returns the members of \p service and follows it from now on.
  std::vector<wire::Member> GetMembers(const std::string& service);

  /// Adds the followed services to \p request.
  void FillRequest(wire::SyncRequest& request) const;

  /// Applies the reply to the request that FillRequest() filled last. An
  /// incremental report whose base revision differs from the held revision is
  /// ignored, and the next request asks for the whole list.
  void Apply(const wire::SyncReply& reply);

  /// Returns whether a followed service has had no report yet.
  bool HasUnknownService() const;

  /// Returns whether the complete membership of \p service is held.
  bool IsKnown(const std::string& service) const;

  /// Returns the time since the last reply of a control process; nothing if
  /// there has been none.
  std::optional<support::Duration> Age() const;

 private:
  struct ServiceState {
    // 0 if no complete membership is held.
    std::uint64_t revision = 0;
    // Whether any report was received, complete or not.
    bool reported = false;
    std::map<std::string, wire::Member> members;
  };

  static void ApplyReport(ServiceState& service,
                          const wire::ServiceMembers& report);

  const support::SteadyClock clock_{};
  mutable std::mutex mutex_;
  std::map<std::string, ServiceState> services_;
  std::optional<support::TimePoint> last_reply_at_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_MEMBERSHIP_VIEW_H_
