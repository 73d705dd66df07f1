// What this node knows of the services that it calls.

#ifndef YUCCASTAIR_LIB_NODE_FLEET_VIEW_H_
#define YUCCASTAIR_LIB_NODE_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "envelope.pb.h"

namespace yuccastair::node {

/// The members of the followed services, as the control processes report them.
///
/// A service is followed from the first call to it on.
class FleetView {
 public:
  /// Returns the members of \p service and follows it from now on.
  std::vector<wire::Member> MembersOf(const std::string& service);

  /// Adds the followed services to \p request.
  void FillRequest(wire::SyncRequest& request) const;

  void Apply(const wire::SyncReply& reply);

  /// Returns whether a followed service has not been reported yet.
  bool HasUnknownService() const;

 private:
  struct Service {
    // 0 until the first report.
    std::uint64_t revision = 0;
    std::map<std::string, wire::Member> members;
  };

  mutable std::mutex mutex_;
  std::map<std::string, Service> services_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_FLEET_VIEW_H_
