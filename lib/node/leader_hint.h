// Address of the control process that this node assumes to be the leader.

#ifndef YUCCASTAIR_LIB_NODE_LEADER_HINT_H_
#define YUCCASTAIR_LIB_NODE_LEADER_HINT_H_

#include <cstddef>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace yuccastair::node {

/// Selects the address for requests to the leader. Safe for use by several
/// threads.
class LeaderHint {
 public:
  explicit LeaderHint(std::vector<std::string> control_addresses)
      : control_addresses_(std::move(control_addresses)) {}

  /// Returns the assumed leader, or one of the control processes if none is
  /// assumed; empty if there are no control processes.
  std::string Address() const {
    std::lock_guard lock(mutex_);
    if (!leader_.empty() || control_addresses_.empty())
      return leader_;
    return control_addresses_[next_index_ % control_addresses_.size()];
  }

  /// Sets the leader that a control process reported. An empty address has no
  /// effect.
  void SetLeader(const std::string& address) {
    std::lock_guard lock(mutex_);
    if (!address.empty())
      leader_ = address;
  }

  /// Records that \p address did not reply or is not the leader. Address() then
  /// returns another control process until the leader is reported again.
  void OnFailure(const std::string& address) {
    std::lock_guard lock(mutex_);
    if (!leader_.empty() && leader_ != address)
      return;
    leader_.clear();
    ++next_index_;
  }

 private:
  mutable std::mutex mutex_;
  const std::vector<std::string> control_addresses_;
  std::string leader_;
  std::size_t next_index_ = 0;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_LEADER_HINT_H_
