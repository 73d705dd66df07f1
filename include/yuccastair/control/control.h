// The control process: replicated state, membership and syncs of nodes.

#ifndef YUCCASTAIR_CONTROL_CONTROL_H_
#define YUCCASTAIR_CONTROL_CONTROL_H_

#include <functional>
#include <memory>
#include <vector>

#include "policy.pb.h"
#include "yuccastair/control/settings.h"

namespace yuccastair::control {

/// Owns the threads and the state of one control process.
class Control {
 public:
  /// Starts the process. Throws Error if an address cannot be bound.
  explicit Control(Settings settings);
  ~Control();

  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  /// Adds addresses at which other control processes may be reached. Safe for
  /// use by several threads.
  void SetSeeds(const std::vector<support::Address>& seeds);

  /// Executes a request on the routing policy, here or at the leader. Calls
  /// \p done once, on a thread of this object or of the caller. Safe for use by
  /// several threads.
  void ExecutePolicyRequest(
      wire::PolicyRequest request,
      const std::function<void(const wire::PolicyReply&)>& done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_CONTROL_CONTROL_H_
