// Commits what relays report about the services that routes need.

#ifndef YUCCASTAIR_LIB_CONTROL_ROUTE_NEED_SERVICE_H_
#define YUCCASTAIR_LIB_CONTROL_ROUTE_NEED_SERVICE_H_

#include "sync.pb.h"
#include "yuccastair/claims/route_needs_table.h"
#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::control {

/// Proposes one change at a time, since relays repeat their reports. Used on
/// the core thread.
class RouteNeedService {
 public:
  RouteNeedService(consensus::ReplicatedLog& log,
                   const claims::RouteNeedsTable& table)
      : log_(log), table_(table) {}

  /// Does nothing if this process is not the leader.
  void Handle(const wire::RouteNeedReport& report);

  void FillReply(const wire::SyncRequest& request,
                 wire::SyncReply& reply) const;

 private:
  consensus::ReplicatedLog& log_;
  const claims::RouteNeedsTable& table_;
  bool change_in_flight_ = false;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_ROUTE_NEED_SERVICE_H_
