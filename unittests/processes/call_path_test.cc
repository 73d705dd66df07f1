// Calls through real processes: keys, organisations, whole answers, shutdown.

#include <catch2/catch.hpp>
#include <future>

#include "process_fleet.h"
#include "yuccastair/state/json.h"
#include "yuccastair/state/key_hash.h"

namespace yuccastair {
namespace {

using nlohmann::json;

json RouteEdit(const std::string& name,
               const std::string& service,
               const std::string& path) {
  return {
      {"kind", "route"}, {"name", name}, {"service", service}, {"path", path}};
}

json SettingEdit(const std::string& route,
                 const std::string& key,
                 const json& value) {
  return {{"kind", "setting"},
          {"level", "route"},
          {"name", route},
          {"key", key},
          {"value", value}};
}

json OrganisationEdit(const std::string& name) {
  return {{"kind", "organisation"},
          {"name", name},
          {"rate", 100000},
          {"burst", 100000}};
}

state::IssuedKey NewKey(const std::string& organisation) {
  return state::IssueKey(organisation, support::RandomHex);
}

json KeyEdit(const state::IssuedKey& key, bool remove = false) {
  json edit = {{"kind", "key"},
               {"organisation", key.record.organisation()},
               {"id", key.record.id()}};
  if (remove) {
    edit["remove"] = true;
    return edit;
  }
  edit["salt"] = state::ToHex(key.record.salt());
  edit["hash"] = state::ToHex(key.record.hash());
  return edit;
}

std::string OutcomeOf(const http::Exchange& exchange) {
  return http::FindHeader(exchange.response.headers, "x-yuccastair-outcome");
}

http::Response Echo(const http::Request& request) {
  return {200, {}, "echo " + request.body, false};
}

/// One control process, an entry node without a target, and two nodes with a
/// target each: front calls depth for every request.
class TwoServices {
 public:
  explicit TwoServices(std::uint16_t base_port)
      : fleet(base_port, 1, {"zone-a", "zone-b", "zone-c"}),
        depth("depth",
              static_cast<std::uint16_t>(base_port + 51),
              fleet.TargetSideAddress(2),
              Echo),
        front("front",
              static_cast<std::uint16_t>(base_port + 50),
              fleet.TargetSideAddress(1),
              [this](const http::Request& request) {
                const http::Exchange inner = SendHttp(
                    fleet.TargetSideAddress(1), "GET", "/depth/x", "",
                    {{"x-yuccastair-call",
                      http::FindHeader(request.headers, "x-yuccastair-call")},
                     {"x-yuccastair-organisation", "intruder"}});
                return http::Response{inner.response.status,
                                      {},
                                      "front " + inner.response.body,
                                      false};
              }) {}

  /// Creates routes, an organisation and a key; returns whether a request is
  /// then served.
  bool SetUp() {
    if (!fleet.Change({RouteEdit("front", "front", "/front"),
                       RouteEdit("depth", "depth", "/depth"),
                       RouteEdit("public", "depth", "/public"),
                       SettingEdit("public", "open", true),
                       OrganisationEdit("acme"), KeyEdit(key)}))
      return false;
    return WaitUntil([&] {
      return Send("GET", "/front/x").response.status == 200 &&
             Send("GET", "/depth/x").response.status == 200;
    });
  }

  http::Exchange Send(const std::string& method,
                      const std::string& path,
                      const std::string& body = "") const {
    return SendHttp(fleet.CallerAddress(0), method, path, body,
                    {{"X-Yuccastair-Key", key.text}});
  }

  ProcessFleet fleet;
  FakeTarget depth;
  FakeTarget front;
  const state::IssuedKey key = NewKey("acme");
};

TEST_CASE(
    "a chain of calls runs for the caller's organisation without its key") {
  TwoServices services(24500);
  REQUIRE(services.SetUp());
  const http::Exchange exchange =
      SendHttp(services.fleet.CallerAddress(0), "GET", "/front/y?q=1", "",
               {{"X-YUCCASTAIR-KEY", services.key.text},
                {"x-yuccastair-key", services.key.text}});
  CHECK(exchange.response.status == 200);
  CHECK(OutcomeOf(exchange) == "ok");
  CHECK(exchange.response.body == "front echo ");
  for (const FakeTarget* target : {&services.front, &services.depth}) {
    const http::Request received = target->requests().back();
    CHECK(http::FindHeader(received.headers, "x-yuccastair-organisation") ==
          "acme");
    for (const http::Header& header : received.headers) {
      CHECK_FALSE(http::SameName(header.name, "x-yuccastair-key"));
      CHECK(header.value.find(services.key.text) == std::string::npos);
    }
  }
}

TEST_CASE("a request without a valid key reaches no target") {
  TwoServices services(24600);
  REQUIRE(services.SetUp());
  const std::size_t before = services.depth.request_count();
  const std::string key = GENERATE("", "acme.", "acme.00", "other");
  const http::Exchange exchange =
      SendHttp(services.fleet.CallerAddress(0), "GET", "/depth/x", "",
               {{"x-yuccastair-key", key}});
  INFO(exchange.error);
  CHECK(exchange.response.status == 401);
  CHECK(OutcomeOf(exchange) == "not-run");
  CHECK(services.depth.request_count() == before);
  const http::Exchange open =
      SendHttp(services.fleet.CallerAddress(0), "GET", "/public/x");
  CHECK(open.response.status == 200);
}

TEST_CASE("a revoked key stops working on a connection that stays open") {
  TwoServices services(24700);
  REQUIRE(services.SetUp());
  http::Client client(services.fleet.CallerAddress(0));
  http::Request request;
  request.method = "GET";
  request.path = "/depth/x";
  request.headers = {{"x-yuccastair-key", services.key.text}};
  const auto send = [&] {
    return client.Send(request, std::chrono::milliseconds(10000), true)
        .response.status;
  };
  REQUIRE(send() == 200);
  REQUIRE(services.fleet.Change(json::array({KeyEdit(services.key, true)})));
  REQUIRE(WaitUntil([&] { return send() == 401; }));
  const std::size_t before = services.depth.request_count();
  for (int i = 0; i < 20; ++i)
    CHECK(send() == 401);
  CHECK(services.depth.request_count() == before);
}

TEST_CASE(
    "without control processes keyed requests are refused, open ones go on") {
  TwoServices services(24800);
  REQUIRE(services.SetUp());
  services.fleet.control(0).Signal(SIGKILL);
  REQUIRE(WaitUntil(
      [&] { return services.Send("GET", "/depth/x").response.status == 503; }));
  const std::size_t before = services.depth.request_count();
  CHECK(OutcomeOf(services.Send("GET", "/depth/x")) == "not-run");
  CHECK(services.depth.request_count() == before);
  CHECK(SendHttp(services.fleet.CallerAddress(0), "GET", "/public/x")
            .response.status == 200);
}

TEST_CASE("a stop of the target's node waits for the request that runs") {
  ProcessFleet fleet(24900, 1, {"zone-a", "zone-b"});
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  std::atomic<bool> slow = false;
  const FakeTarget target("slow", 24950, fleet.TargetSideAddress(1),
                          [&](const http::Request& request) {
                            if (request.path == "/slow/wait") {
                              slow = true;
                              released.wait();
                            }
                            return Echo(request);
                          });
  REQUIRE(fleet.Change(
      {RouteEdit("slow", "slow", "/slow"), SettingEdit("slow", "open", true)}));
  REQUIRE(WaitUntil([&] {
    return SendHttp(fleet.CallerAddress(0), "GET", "/slow/x").response.status ==
           200;
  }));
  auto waiting = std::async(std::launch::async, [&] {
    return SendHttp(fleet.CallerAddress(0), "POST", "/slow/wait", "order 1");
  });
  REQUIRE(WaitUntil([&] { return slow.load(); }));
  fleet.node(1).Signal(SIGTERM);
  // New work is refused while the running request goes on.
  REQUIRE(WaitUntil([&] {
    return OutcomeOf(SendHttp(fleet.CallerAddress(0), "POST", "/slow/x")) ==
           "not-run";
  }));
  release.set_value();
  const http::Exchange exchange = waiting.get();
  CHECK(exchange.response.status == 200);
  CHECK(exchange.response.body == "echo order 1");
  CHECK(fleet.node(1).Wait() == 0);
}

TEST_CASE("an order whose node is killed is not sent to another target") {
  // Guards against a retry of a non-idempotent request that may have run.
  ProcessFleet fleet(25900, 1, {"zone-a", "zone-b", "zone-c"});
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  std::atomic<int> orders = 0;
  // The node whose target runs the order; 0 before it runs.
  std::atomic<int> running_at = 0;
  const auto handler_of = [&](int node) {
    return [&, node](const http::Request& request) {
      if (request.body == "order") {
        ++orders;
        running_at = node;
        released.wait();
      }
      return Echo(request);
    };
  };
  const FakeTarget first("orders", 25950, fleet.TargetSideAddress(1),
                         handler_of(1));
  const FakeTarget second("orders", 25951, fleet.TargetSideAddress(2),
                          handler_of(2));
  REQUIRE(fleet.Change({RouteEdit("orders", "orders", "/orders"),
                        SettingEdit("orders", "open", true)}));
  REQUIRE(WaitUntil([&] {
    SendHttp(fleet.CallerAddress(0), "GET", "/orders/x");
    return first.request_count() > 0 && second.request_count() > 0;
  }));
  auto waiting = std::async(std::launch::async, [&] {
    return SendHttp(fleet.CallerAddress(0), "POST", "/orders/new", "order");
  });
  REQUIRE(WaitUntil([&] { return running_at > 0; }));
  fleet.node(running_at).Signal(SIGKILL);
  const http::Exchange exchange = waiting.get();
  release.set_value();
  CHECK(OutcomeOf(exchange) == "unknown");
  CHECK(orders == 1);
}

}  // namespace
}  // namespace yuccastair
