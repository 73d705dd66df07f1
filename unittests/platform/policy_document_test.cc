// The platform's configuration document.

#include "platform/policy_document.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/operator_front.h"
#include "yuccastair/support/error.h"

namespace yuccastair::platform {
namespace {

using nlohmann::json;

json Document() {
  return json::parse(R"({
    "version": 7, "baseVersion": 5,
    "routes": [
      {"name": "r1", "host": "h.example", "pathPrefix": "/a/", "kind": "safe",
       "timeoutMs": 800, "targetLatencyMs": 1500, "priority": 2,
       "split": [{"service": "s1", "weight": 90},
                 {"service": "s2", "weight": 10}],
       "attempts": 2, "public": false},
      {"name": "r2", "host": "h.example", "pathPrefix": "/b/",
       "kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 1500,
       "priority": 0, "service": "s1", "attempts": 1, "public": true}],
    "services": [
      {"name": "s1", "healthPath": "/healthz", "maxConns": 994,
       "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 33.5},
      {"name": "s2", "healthPath": "/healthz", "maxConns": 10}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [
      {"name": "t1", "apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 77,
       "burst": 70},
      {"name": "t2", "apiKeys": ["k3"]}]})");
}

unsigned StatusFor(const std::string& body) {
  const OperatorCall call =
      DecodeOperatorCall("POST", "/yuccastair/Config.Put", body);
  return call.request ? 200 : call.refusal_status;
}

TEST_CASE("a document becomes a policy with the document as its source") {
  const std::string text = Document().dump();
  const wire::PolicyPut put = DecodePolicy(text);
  const wire::Policy& policy = put.policy();
  CHECK(put.base_version() == 5);
  CHECK(policy.version() == 7);
  CHECK(policy.source() == text);
  REQUIRE(policy.routes_size() == 2);
  CHECK(policy.routes(0).idempotent());
  CHECK(policy.routes(0).timeout_ms() == 800);
  CHECK(policy.routes(0).objective_ms() == 1500);
  CHECK(policy.routes(0).rank() == 2);
  CHECK(policy.routes(0).shares(1).weight() == 10);
  CHECK_FALSE(policy.routes(0).open());
  CHECK_FALSE(policy.routes(1).idempotent());
  CHECK(policy.routes(1).shares(0).service() == "s1");
  CHECK(policy.routes(1).open());
  CHECK(policy.services(0).cold_ms() == 3000);
  CHECK(policy.services(0).cold_per_second() == 33.5);
  CHECK(policy.services(1).cold_ms() == 0);
  CHECK(policy.limits().header_timeout_ms() == 3000);
  CHECK(policy.organisations(0).keys_size() == 2);
  CHECK(policy.organisations(0).rank() == 1);
  CHECK_FALSE(policy.organisations(1).has_rank());
  CHECK(policy.organisations(1).rate() == 0);
}

// Guards against a configuration in force that cannot be meant.
TEST_CASE("an invalid document is refused") {
  struct Case {
    const char* name;
    const char* patch;
  };
  REQUIRE(StatusFor(Document().dump()) == 200);
  for (
      const Case& test : std::initializer_list<Case>{
          {"unknown service",
           R"([{"op":"replace","path":"/routes/1/service","value":"x"}])"},
          {"unknown service in a split",
           R"([{"op":"replace","path":"/routes/0/split/1/service","value":"x"}])"},
          {"no timeout",
           R"([{"op":"replace","path":"/routes/0/timeoutMs","value":0}])"},
          {"timeout over ten minutes",
           R"([{"op":"replace","path":"/routes/0/timeoutMs","value":600001}])"},
          {"objective a minute above the timeout",
           R"([{"op":"replace","path":"/routes/0/targetLatencyMs","value":60800}])"},
          {"prefix without a slash",
           R"([{"op":"replace","path":"/routes/0/pathPrefix","value":"a/"}])"},
          {"unknown kind",
           R"([{"op":"replace","path":"/routes/0/kind","value":"keyed?"}])"},
          {"key of two tenants",
           R"([{"op":"replace","path":"/tenants/1/apiKeys/0","value":"k2"}])"},
          {"two routes at one place",
           R"([{"op":"replace","path":"/routes/1/pathPrefix","value":"/a/"}])"},
          {"weights of 0",
           R"([{"op":"replace","path":"/routes/0/split","value":[{"service":"s1","weight":0}]}])"},
          {"routes missing", R"([{"op":"remove","path":"/routes"}])"},
          {"services missing", R"([{"op":"remove","path":"/services"}])"},
          {"version missing", R"([{"op":"remove","path":"/version"}])"},
          {"version as text",
           R"([{"op":"replace","path":"/version","value":"7"}])"},
          {"base version missing",
           R"([{"op":"remove","path":"/baseVersion"}])"},
          {"routes not a list",
           R"([{"op":"replace","path":"/routes","value":{}}])"},
          {"route not an object",
           R"([{"op":"replace","path":"/routes/0","value":3}])"},
      }) {
    CAPTURE(test.name);
    const json patched = Document().patch(json::parse(test.patch));
    CHECK(StatusFor(patched.dump()) == 400);
  }
}

// Guards against a document that was cut on its way and is read in part.
TEST_CASE("a document that was cut short is refused at every length") {
  const std::string text = Document().dump();
  for (std::size_t length = 0; length < text.size(); ++length) {
    CAPTURE(length);
    REQUIRE(StatusFor(text.substr(0, length)) == 400);
  }
}

TEST_CASE("operators' calls are told apart by method and path") {
  const auto read = DecodeOperatorCall("GET", "/yuccastair/Config.Get", "");
  REQUIRE(read.request);
  CHECK(read.request->has_read());
  const auto out =
      DecodeOperatorCall("POST", "/yuccastair/Evacuations.Start/z-a", "");
  REQUIRE(out.request);
  CHECK(out.request->zone().zone() == "z-a");
  CHECK(out.request->zone().out());
  const auto in =
      DecodeOperatorCall("POST", "/yuccastair/Evacuations.End/z-a", "");
  REQUIRE(in.request);
  CHECK_FALSE(in.request->zone().out());
  CHECK(
      DecodeOperatorCall("GET", "/yuccastair/Config.Put", "").refusal_status ==
      404);
  CHECK(DecodeOperatorCall("POST", "/yuccastair/Evacuations.Start/", "")
            .refusal_status == 400);
}

TEST_CASE("the status of an answer says what is known") {
  wire::PolicyReply reply;
  CHECK(StatusOf(reply) == 503);
  reply.set_status(wire::POLICY_STATUS_DONE);
  CHECK(StatusOf(reply) == 200);
  reply.set_status(wire::POLICY_STATUS_CONFLICT);
  CHECK(StatusOf(reply) == 412);
  reply.set_status(wire::POLICY_STATUS_SUPERSEDED);
  CHECK(StatusOf(reply) == 503);
}

}  // namespace
}  // namespace yuccastair::platform
