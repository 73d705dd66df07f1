// A control process inside a test, with a data directory of its own.

#ifndef YUCCASTAIR_UNITTESTS_CTL_LEADING_CONTROL_H_
#define YUCCASTAIR_UNITTESTS_CTL_LEADING_CONTROL_H_

#include <chrono>
#include <stdexcept>
#include <thread>

#include "temporary_dir.h"
#include "yuccastair/control/control.h"
#include "yuccastair/http/client.h"

namespace yuccastair {

/// Runs one control process and waits until it is the leader.
class LeadingControl {
 public:
  explicit LeadingControl(const control::Settings& settings)
      : control_(WithDataDir(settings)) {
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!IsLeader(settings.operator_listen)) {
      if (std::chrono::steady_clock::now() > limit)
        throw std::runtime_error("the control process does not lead");
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

 private:
  control::Settings WithDataDir(control::Settings settings) const {
    settings.data_dir = (dir_.path() / "data").string();
    return settings;
  }

  static bool IsLeader(const support::Address& address) {
    http::Client client(address);
    http::Request request;
    request.method = "GET";
    request.path = "/v1/status";
    const http::Exchange exchange =
        client.Send(request, std::chrono::milliseconds(5000), false);
    return exchange.response.body.find("\"leader\":true") != std::string::npos;
  }

  const TemporaryDir dir_;
  const control::Control control_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_CTL_LEADING_CONTROL_H_
