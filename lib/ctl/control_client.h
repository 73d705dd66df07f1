// Talks to the control processes on behalf of one command.

#ifndef YUCCASTAIR_LIB_CTL_CONTROL_CLIENT_H_
#define YUCCASTAIR_LIB_CTL_CONTROL_CLIENT_H_

#include <chrono>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "yuccastair/support/address.h"

namespace yuccastair::ctl {

struct Answer {
  int status = 0;
  nlohmann::json body;
};

/// Sends requests to one control process after the other until one answers.
class ControlClient {
 public:
  ControlClient(std::vector<support::Address> controls,
                std::chrono::milliseconds timeout);

  /// Reads from any control process. Throws Error with step "connect" if none
  /// answers.
  Answer Get(const std::string& path);

  /// Sends a body that has the same effect when it is sent again: it is sent
  /// again after a lost or uncertain answer, and to the leader where a process
  /// names it. Without a final answer the status is 504 if a process may have
  /// acted, and 503 if none can have.
  Answer Post(const std::string& path, const nlohmann::json& body);

 private:
  const std::vector<support::Address> controls_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace yuccastair::ctl

#endif  // YUCCASTAIR_LIB_CTL_CONTROL_CLIENT_H_
