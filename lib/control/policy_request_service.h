// Requests of operators on the routing policy.

#ifndef YUCCASTAIR_LIB_CONTROL_POLICY_REQUEST_SERVICE_H_
#define YUCCASTAIR_LIB_CONTROL_POLICY_REQUEST_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "change_horizon.h"
#include "policy.pb.h"
#include "sync.pb.h"
#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/membership/zone_orders.h"
#include "yuccastair/policy/policy_table.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Executes requests at the leader and forwards those that arrive at another
/// control process to it, so that operators may call any control process. Used
/// on the core thread.
class PolicyRequestService {
 public:
  using ReplyCallback = std::function<void(const wire::PolicyReply&)>;
  /// Sends a request to the control process at an address. Its reply is passed
  /// to OnReply() with the same correlation.
  using ForwardCallback =
      std::function<void(const std::string& address,
                         std::uint64_t correlation,
                         const wire::PolicyRequest& request)>;

  PolicyRequestService(consensus::ReplicatedLog& log,
                       const policy::PolicyTable& table,
                       const support::Clock& clock,
                       ForwardCallback forward);

  /// Executes a request that an operator sent to this process. \p done is
  /// called once; an empty reply means that the outcome is unknown.
  void Execute(wire::PolicyRequest request, const ReplyCallback& done);

  /// Executes a request that another control process forwarded. It is not
  /// forwarded again, since the leader may just have changed.
  void ExecuteAsLeader(const wire::PolicyRequest& request,
                       const ReplyCallback& done);

  /// Passes the leader's reply to the sender of a forwarded request. A late
  /// reply is ignored.
  void OnReply(std::uint64_t correlation, const wire::PolicyReply& reply);

  /// Replies to a request that could not be forwarded for lack of a connection
  /// to \p leader, so that its caller can try another control process in time.
  void OnUndelivered(std::uint64_t correlation, const std::string& leader);

  /// Replies to forwarded requests that have timed out, and tracks the changes
  /// of zones.
  void Tick();

  /// Adds the zones out of service, and the policy if the node's is older.
  void FillReply(const wire::SyncRequest& request, wire::SyncReply& reply);

  /// Reads the zones out of service from the applied log.
  void UpdateZones();
  const membership::ZoneOrders& zones() const { return zones_; }

 private:
  struct ForwardedRequest {
    ReplyCallback done;
    support::TimePoint deadline;
  };

  consensus::ReplicatedLog& log_;
  const policy::PolicyTable& table_;
  const support::Clock& clock_;
  const ForwardCallback forward_;
  const support::TimePoint started_at_;
  ChangeHorizon zone_changes_;
  membership::ZoneOrderDates zone_dates_;
  membership::ZoneOrders zones_;
  // Requests forwarded to the leader, by correlation.
  std::map<std::uint64_t, ForwardedRequest> forwarded_requests_;
  std::uint64_t next_correlation_ = 1;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_POLICY_REQUEST_SERVICE_H_
