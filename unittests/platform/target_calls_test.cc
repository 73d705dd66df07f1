// Heartbeats and deregistrations of the platform's servers.

#include "platform/target_calls.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace yuccastair::platform {
namespace {

using nlohmann::json;

json Heartbeat() {
  return json::parse(R"({"addr": "10.1.0.9:8080", "born": 1700000000123,
    "info": {"service": "s", "version": "v1", "zone": "z", "slots": 149},
    "status": {"state": "ready", "seq": 4, "coldLeftMs": 1200}})");
}

std::optional<relay::Adapter::TargetCall> Decode(const std::string& path,
                                                 const std::string& body) {
  return MakeAdapter().decode_target_call("POST", path, body);
}

TEST_CASE("a heartbeat is decoded once into the product's words") {
  const auto call =
      Decode("/yuccastair/Instances.Heartbeat/i-1", Heartbeat().dump());
  REQUIRE(call);
  REQUIRE(call->announcement);
  const relay::Announcement& announcement = *call->announcement;
  CHECK(announcement.target_id == "i-1");
  CHECK(announcement.state == relay::AnnouncedState::kReady);
  CHECK(announcement.started_ms == 1700000000123);
  CHECK(announcement.sequence == 4);
  CHECK(announcement.service == "s");
  CHECK(announcement.address.ToString() == "10.1.0.9:8080");
  CHECK(announcement.slots == 149);
  CHECK(announcement.remaining_cold_time == std::chrono::milliseconds(1200));
}

// Guards against a heartbeat of another writer that names a server to use, or
// ends the process that reads it.
TEST_CASE("an unreadable heartbeat is acknowledged and names nothing") {
  std::vector<std::string> bodies = {"", "{", "[]", "null", "\xff\xfe"};
  for (const char* patch :
       {R"([{"op":"remove","path":"/addr"}])",
        R"([{"op":"replace","path":"/addr","value":7}])",
        R"([{"op":"replace","path":"/addr","value":"nowhere"}])",
        R"([{"op":"remove","path":"/info/service"}])",
        R"([{"op":"replace","path":"/info","value":[]}])",
        R"([{"op":"replace","path":"/info/slots","value":"many"}])",
        R"([{"op":"replace","path":"/status/state","value":"odd"}])",
        R"([{"op":"replace","path":"/status/seq","value":-1}])",
        R"([{"op":"remove","path":"/status"}])"})
    bodies.push_back(Heartbeat().patch(json::parse(patch)).dump());
  for (const std::string& body : bodies) {
    CAPTURE(body);
    const auto call = Decode("/yuccastair/Instances.Heartbeat/i-1", body);
    REQUIRE(call);
    CHECK_FALSE(call->announcement);
  }
}

TEST_CASE("a deregistration needs no body") {
  const auto call = Decode("/yuccastair/Instances.Deregister/i-1", "");
  REQUIRE(call);
  REQUIRE(call->announcement);
  CHECK(call->announcement->state == relay::AnnouncedState::kDeregistered);
  CHECK(call->announcement->target_id == "i-1");
}

TEST_CASE("other calls do not exist") {
  CHECK_FALSE(Decode("/yuccastair/Instances.Heartbeat/", ""));
  CHECK_FALSE(Decode("/yuccastair/Config.Put", ""));
  CHECK_FALSE(MakeAdapter().decode_target_call(
      "GET", "/yuccastair/Instances.Heartbeat/i-1", ""));
}

}  // namespace
}  // namespace yuccastair::platform
