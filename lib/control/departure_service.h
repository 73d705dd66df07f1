// Commits what relays report about targets that leave.

#ifndef YUCCASTAIR_LIB_CONTROL_DEPARTURE_SERVICE_H_
#define YUCCASTAIR_LIB_CONTROL_DEPARTURE_SERVICE_H_

#include <functional>

#include "sync.pb.h"
#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/membership/departure_table.h"

namespace yuccastair::control {

/// Replies once the log holds a departure. Used on the core thread.
class DepartureService {
 public:
  using ReplyCallback = std::function<void(const wire::DepartureReply&)>;

  DepartureService(consensus::ReplicatedLog& log,
                   const membership::DepartureTable& table)
      : log_(log), table_(table) {}

  /// Calls \p send_reply after the commit, or at once if this process is not
  /// the leader. The departure may be committed even if the reply denies it.
  void Handle(const wire::DepartureReport& report,
              const ReplyCallback& send_reply);

  /// Tells a node process which target has left, unless it says so itself.
  void FillReply(const wire::SyncRequest& request,
                 wire::SyncReply& reply) const;

 private:
  consensus::ReplicatedLog& log_;
  const membership::DepartureTable& table_;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_DEPARTURE_SERVICE_H_
