// The exception of the project: what failed, at which step and with which peer.

#ifndef YUCCASTAIR_SUPPORT_ERROR_H_
#define YUCCASTAIR_SUPPORT_ERROR_H_

#include <stdexcept>
#include <string>

namespace yuccastair::support {

/// A failure with the step and the peer at which it arose.
class Error : public std::runtime_error {
 public:
  /// \p peer may be empty where no other process is involved.
  Error(std::string step, std::string peer, const std::string& message);

  const std::string& step() const { return step_; }
  const std::string& peer() const { return peer_; }

 private:
  std::string step_;
  std::string peer_;
};

}  // namespace yuccastair::support

#endif  // YUCCASTAIR_SUPPORT_ERROR_H_
