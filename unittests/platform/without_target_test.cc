// Operators take zones out until a service has no target left.

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "relay/scripted_target.h"
#include "soak_layout.h"
#include "system_client.h"
#include "system_process.h"

namespace yuccastair {
namespace {

using namespace std::chrono_literals;
namespace asio = stream::asio;
namespace http = stream::http;

constexpr int kRelays = 2;
// Time in which control processes check their services after an order.
constexpr auto kSettlingTime = 700ms;

class ZonesTakenOut : private SystemClient {
 public:
  using SystemClient::Await;
  using SystemClient::RunFor;

  ZonesTakenOut() : layout_(SoakLayout::kWithoutTargetPorts, 0) {
    for (int i = 0; i < SoakLayout::kControls; ++i)
      processes_.push_back(
          std::make_unique<Process>("control", layout_.ControlSettings(i)));
    for (int i = 0; i < kRelays; ++i) {
      targets_.push_back(ServingTarget());
      const auto address = targets_.back()->address();
      processes_.push_back(std::make_unique<Process>(
          "relay", layout_.RelaySettings(i, address)));
      asio::co_spawn(context(),
                     Announce("i-" + std::to_string(i), address,
                              layout_.TargetCalls(i), finished_),
                     asio::detached);
    }
    Await("a policy", [&] {
      return Operate("/yuccastair/Config.Put",
                     SoakLayout::Document(0, 1).dump()) == 200;
    });
    Await("service", [&] { return AskRelay().status == 200; });
  }

  ~ZonesTakenOut() {
    // What runs in the context refers to this object.
    context().stop();
  }

  unsigned Operate(const std::string& path, const std::string& body = "") {
    return Ask(layout_.Policy(0), http::verb::post, path, body).status;
  }

  Answer AskRelay() {
    return Ask(layout_.Callers(0), http::verb::get, "/safe/x");
  }

  std::string Read(const std::string& path) {
    return Ask(layout_.Operator(0), http::verb::get, path).body;
  }

  /// The fields of the latest event of that name; empty if there is none.
  nlohmann::json EventNamed(const std::string& name) {
    const auto read = nlohmann::json::parse(Read("/v1/events"), nullptr, false);
    nlohmann::json latest = nlohmann::json::object();
    if (!read.is_object())
      return latest;
    for (const auto& event : read.value("events", nlohmann::json::array())) {
      if (event.value("name", "") == name)
        latest = event["fields"];
    }
    return latest;
  }

  /// The zones that were out when the service was last seen without a target.
  nlohmann::json ZonesOfEvent() {
    return EventNamed("service.without_target")
        .value("zones_out", nlohmann::json());
  }

 private:
  const SoakLayout layout_;
  std::vector<std::unique_ptr<relay::ScriptedTarget>> targets_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::shared_ptr<bool> finished_ = std::make_shared<bool>(false);
};

// Guards against operators who learn only from failed requests that they have
// taken the last target of a service out of use.
TEST_CASE("the last target of a service goes out with its zone") {
  ZonesTakenOut system;
  // A control process that has just started does not know all targets yet.
  system.Await("the warning of a first zone that goes out", [&] {
    system.Await("the zone back", [&] {
      return system.Operate("/yuccastair/Evacuations.End/z0") == 200;
    });
    system.RunFor(kSettlingTime);
    system.Await("the first zone out", [&] {
      return system.Operate("/yuccastair/Evacuations.Start/z0") == 200;
    });
    system.RunFor(kSettlingTime);
    const auto warning = system.EventNamed("service.last_target");
    return warning.value("remaining", "") == "relay-1" &&
           warning["zones_out"] == nlohmann::json({"z0"});
  });
  CHECK(system.ZonesOfEvent() != nlohmann::json({"z0"}));
  system.Await("the second zone out", [&] {
    return system.Operate("/yuccastair/Evacuations.Start/z1") == 200;
  });
  system.Await("the event", [&] {
    return system.ZonesOfEvent() == nlohmann::json({"z0", "z1"});
  });
  const auto event = system.EventNamed("service.without_target");
  CAPTURE(event.dump());
  CHECK(event["service"] == "s1");
  REQUIRE(event["targets"].size() == 2);
  CHECK(event["targets"][0]["target"] == "relay-0");
  CHECK(event["targets"][0]["zone_out"] == true);
  system.Await("the refusal", [&] {
    const Answer answer = system.AskRelay();
    return answer.status == 503 &&
           answer.body == "the service has no target in service\n";
  });
  const std::string metrics = system.Read("/v1/metrics");
  CAPTURE(metrics);
  CHECK(metrics.find("yuccastair_services_without_target 1") !=
        std::string::npos);
  CHECK(metrics.find("yuccastair_service_lost_last_target_total{service="
                     "\"s1\"}") != std::string::npos);
  system.Await("the zone back", [&] {
    return system.Operate("/yuccastair/Evacuations.End/z1") == 200;
  });
  system.Await("service again",
               [&] { return system.AskRelay().status == 200; });
  system.Await("the event of the return", [&] {
    return !system.EventNamed("service.has_target").empty();
  });
}

}  // namespace
}  // namespace yuccastair
