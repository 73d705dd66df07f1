// Operations of operators on the routing policy.

#ifndef YUCCASTAIR_LIB_CONTROL_POLICY_SERVICE_H_
#define YUCCASTAIR_LIB_CONTROL_POLICY_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "policy.pb.h"
#include "sync.pb.h"
#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/policy/policy_table.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Performs operations at the leader and passes those that arrive elsewhere on
/// to it, so that operators may call any control process. Used on the core
/// thread.
class PolicyService {
 public:
  using Done = std::function<void(const wire::PolicyReply&)>;
  /// Sends a request to the control process at an address; its answer comes to
  /// HandleReply() with the same number.
  using Forward = std::function<void(const std::string& address,
                                     std::uint64_t number,
                                     const wire::PolicyRequest& request)>;

  PolicyService(consensus::ReplicatedLog& log,
                const policy::PolicyTable& table,
                const support::Clock& clock,
                Forward forward);

  /// Performs an operation that an operator sent here. \p done is called once;
  /// an answer without a statement says that the outcome is not known.
  void Operate(const wire::PolicyRequest& request, const Done& done);

  /// Performs an operation that another control process passed on. It is not
  /// passed on again, since the leader may just have changed.
  void OperateAsLeader(const wire::PolicyRequest& request, const Done& done);

  void HandleReply(std::uint64_t number, const wire::PolicyReply& reply);

  /// Answers an operation that found no connection to \p leader, so that its
  /// caller can turn to another control process in time.
  void HandleUndelivered(std::uint64_t number, const std::string& leader);

  /// Gives up operations that wait too long.
  void Tick();

  /// Adds what a node needs to know of the policy.
  void Fill(const wire::SyncRequest& request, wire::SyncReply& reply) const;

 private:
  struct Waiting {
    Done done;
    support::TimePoint until;
  };

  consensus::ReplicatedLog& log_;
  const policy::PolicyTable& table_;
  const support::Clock& clock_;
  const Forward forward_;
  // Operations passed on to the leader, by number.
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t next_number_ = 1;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_POLICY_SERVICE_H_
