// Where this node believes the leader of the control processes to be.

#ifndef YUCCASTAIR_LIB_NODE_LEADER_HINT_H_
#define YUCCASTAIR_LIB_NODE_LEADER_HINT_H_

#include <cstddef>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace yuccastair::node {

/// The address to send requests for the leader to. Safe for several threads.
class LeaderHint {
 public:
  explicit LeaderHint(std::vector<std::string> controls)
      : controls_(std::move(controls)) {}

  /// Returns the believed leader, or one of the control processes; empty if
  /// there are none.
  std::string Address() const {
    std::lock_guard lock(mutex_);
    if (!leader_.empty() || controls_.empty())
      return leader_;
    return controls_[next_ % controls_.size()];
  }

  /// Takes over what a control process said; an empty address says nothing.
  void Set(const std::string& address) {
    std::lock_guard lock(mutex_);
    if (!address.empty())
      leader_ = address;
  }

  /// \p address did not answer or is not the leader: tries another one, until a
  /// control process names the leader again.
  void Failed(const std::string& address) {
    std::lock_guard lock(mutex_);
    if (!leader_.empty() && leader_ != address)
      return;
    leader_.clear();
    ++next_;
  }

 private:
  mutable std::mutex mutex_;
  const std::vector<std::string> controls_;
  std::string leader_;
  std::size_t next_ = 0;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_LEADER_HINT_H_
