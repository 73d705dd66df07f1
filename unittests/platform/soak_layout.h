// Addresses, settings files and policies of the processes of a soak.

#ifndef YUCCASTAIR_UNITTESTS_PLATFORM_SOAK_LAYOUT_H_
#define YUCCASTAIR_UNITTESTS_PLATFORM_SOAK_LAYOUT_H_

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>

#include "temporary_dir.h"
#include "yuccastair/support/address.h"

namespace yuccastair {

class SoakLayout {
 public:
  static constexpr int kControls = 3;

  /// First ports of the tests that use this layout. No other test uses
  /// those from there on.
  static constexpr int kSoakPorts = 16000;
  static constexpr int kWholeRestartPorts = 11000;
  static constexpr int kWithoutTargetPorts = 15000;
  static constexpr int kPlannedStopPorts = 20000;
  static constexpr int kControlStopPorts = 24000;
  static constexpr int kLateOrderPorts = 29000;
  static constexpr int kDepartingTargetPorts = 30000;
  static constexpr int kCrashingRequestPorts = 31000;
  static constexpr int kRestartWithoutTargetPorts = 31500;
  static constexpr int kQueuedStopPorts = 32000;
  static constexpr int kLastTargetPorts = 32300;

  /// Seeds that run at the same time have ports of their own.
  SoakLayout(int first_port, std::uint64_t seed)
      : first_port_(first_port +
                    static_cast<int>(seed % kPortRanges) * kPortsOfSeed) {}

  support::Address Policy(int i) const { return Port(10 + i); }
  support::Address Operator(int i) const { return Port(20 + i); }
  support::Address Callers(int i) const { return RelayPort(i, 0); }
  support::Address TargetCalls(int i) const { return RelayPort(i, 1); }
  support::Address Ready(int i) const { return RelayPort(i, 2); }

  std::filesystem::path DataDir(int i) const {
    return dir_.path() / ("control-" + std::to_string(i));
  }

  /// Writes the settings of a control process and returns the file's path.
  /// Only the first start of the whole system forms the cluster.
  std::string ControlSettings(int i, bool form_cluster = true) const {
    const std::string id = "control-" + std::to_string(i);
    return dir_.Write(
        id + ".toml",
        "[control]\nid = \"" + id + "\"\navailability_zone = \"z" +
            std::to_string(i) + "\"\npeer_listen = \"" +
            ControlPeer(i).ToString() + "\"\noperator_listen = \"" +
            Operator(i).ToString() + "\"\npolicy_listen = \"" +
            Policy(i).ToString() + "\"\ndata_dir = \"" + DataDir(i).string() +
            "\"\nseeds = " + Seeds() +
            "\nform_cluster = " + (form_cluster ? "true" : "false") + "\n");
  }

  /// The same for a relay beside a target.
  std::string RelaySettings(int i,
                            const support::Address& target,
                            std::chrono::milliseconds shutdown_timeout =
                                std::chrono::milliseconds(6000)) const {
    const std::string id = "relay-" + std::to_string(i);
    return dir_.Write(
        id + ".toml",
        "[relay]\nid = \"" + id + "\"\navailability_zone = \"z" +
            std::to_string(i) + "\"\nservice = \"s1\"\ntarget = \"" +
            target.ToString() + "\"\ncaller_listen = \"" +
            Callers(i).ToString() + "\"\ntarget_listen = \"" +
            TargetCalls(i).ToString() + "\"\nready_listen = \"" +
            Ready(i).ToString() + "\"\npeer_listen = \"" +
            RelayPort(i, 3).ToString() + "\"\nseeds = " + Seeds() +
            "\nshutdown_timeout_ms = " +
            std::to_string(shutdown_timeout.count()) +
            "\ndrain_time_ms = 2000\n");
  }

  /// Each version keeps the routes of all earlier ones and adds one.
  static nlohmann::json Document(int base, int version) {
    json routes = json::array();
    const auto add = [&routes](const std::string& prefix,
                               const std::string& kind) {
      routes.push_back({{"name", prefix},
                        {"host", "h.example"},
                        {"pathPrefix", prefix},
                        {"kind", kind},
                        {"timeoutMs", 3000},
                        {"targetLatencyMs", 1000},
                        {"priority", 0},
                        {"service", "s1"},
                        {"attempts", 2}});
    };
    add("/safe/", "safe");
    add("/unsafe/", "unsafe");
    for (int i = 1; i <= version; ++i)
      add(Marker(i), "safe");
    return {{"version", version},
            {"baseVersion", base},
            {"routes", routes},
            {"services", {{{"name", "s1"}, {"healthPath", "/h"}}}}};
  }
  /// Path prefix of the route that a version adds.
  static std::string Marker(int version) {
    return "/v" + std::to_string(version) + "/";
  }

 private:
  using json = nlohmann::json;

  static constexpr int kPortsOfSeed = 60;
  static constexpr int kPortRanges = 60;

  support::Address Port(int offset) const {
    return {"127.0.0.1", static_cast<std::uint16_t>(first_port_ + offset)};
  }
  support::Address ControlPeer(int i) const { return Port(i); }
  support::Address RelayPort(int i, int which) const {
    return Port(30 + 5 * i + which);
  }

  std::string Seeds() const {
    std::string seeds;
    for (int i = 0; i < kControls; ++i)
      seeds += (i > 0 ? ", \"" : "\"") + ControlPeer(i).ToString() + "\"";
    return "[" + seeds + "]";
  }

  const int first_port_;
  TemporaryDir dir_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_PLATFORM_SOAK_LAYOUT_H_
