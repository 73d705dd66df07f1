// A control process of its own for one test.

#ifndef YUCCASTAIR_UNITTESTS_CTL_CONTROL_FIXTURE_H_
#define YUCCASTAIR_UNITTESTS_CTL_CONTROL_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

#include "temporary_dir.h"
#include "yuccastair/control/control.h"
#include "yuccastair/http/client.h"

namespace yuccastair {

/// Runs a control process until it is destroyed or stopped. Its constructor
/// returns once the process is the leader of its log.
class RunningControl {
 public:
  /// Operators connect to \p port, peers to the one after it.
  explicit RunningControl(std::uint16_t port) {
    control::Settings settings;
    settings.id = "c1";
    settings.availability_zone = "a";
    settings.operator_listen = {"127.0.0.1", port};
    settings.peer_listen = {"127.0.0.1", static_cast<std::uint16_t>(port + 1)};
    settings.peers = {settings.peer_listen};
    settings.data_dir = (dir_.path() / "data").string();
    settings.member_expiry = std::chrono::milliseconds(3000);
    const support::Address operators = settings.operator_listen;
    control_ = std::make_unique<control::Control>(std::move(settings));
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!IsLeader(operators)) {
      if (std::chrono::steady_clock::now() > deadline)
        throw std::runtime_error("the control process does not lead");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  void Stop() { control_.reset(); }

 private:
  static bool IsLeader(const support::Address& operators) {
    http::Client client(operators);
    http::Request request;
    request.method = "GET";
    request.path = "/v1/status";
    return client.Send(request, std::chrono::milliseconds(5000), false)
               .response.body.find("\"leader\":true") != std::string::npos;
  }

  const TemporaryDir dir_;
  std::unique_ptr<control::Control> control_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_CTL_CONTROL_FIXTURE_H_
