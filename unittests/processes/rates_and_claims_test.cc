// Rates, claims and crash fingerprints through real processes.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "process_fleet.h"
#include "yuccastair/state/json.h"
#include "yuccastair/state/key_hash.h"

namespace yuccastair {
namespace {

using nlohmann::json;

json RouteEdit(const std::string& name) {
  return {{"kind", "route"},
          {"name", name},
          {"service", "orders"},
          {"path", "/" + name}};
}

json KeyEdit(const state::IssuedKey& key) {
  return {{"kind", "key"},
          {"organisation", key.record.organisation()},
          {"id", key.record.id()},
          {"salt", state::ToHex(key.record.salt())},
          {"hash", state::ToHex(key.record.hash())}};
}

std::string OutcomeOf(const http::Exchange& exchange) {
  return http::FindHeader(exchange.response.headers, "x-yuccastair-outcome");
}

// One control process, two entries, and a target behind a third node.
struct Services {
  explicit Services(std::uint16_t base)
      : fleet(base, 1, {"zone-a", "zone-b", "zone-c"}),
        orders("orders",
               static_cast<std::uint16_t>(base + 50),
               fleet.TargetSideAddress(2),
               [](const http::Request& request) {
                 return http::Response{201, {}, "got " + request.body, false};
               }) {}

  bool SetUp() {
    const json small = {{"kind", "organisation"},
                        {"name", "small"},
                        {"rate", 0.001},
                        {"burst", 5}};
    const json large = {{"kind", "organisation"},
                        {"name", "large"},
                        {"rate", 10000},
                        {"burst", 10000}};
    if (!fleet.Change({RouteEdit("order"), small, large, KeyEdit(small_key),
                       KeyEdit(large_key)}))
      return false;
    return WaitUntil([&] {
      return Send(0, large_key, "GET", "").response.status == 201 &&
             Send(1, large_key, "GET", "").response.status == 201;
    });
  }

  http::Exchange Send(int node,
                      const state::IssuedKey& key,
                      const std::string& method,
                      const std::string& idempotency_key,
                      const std::string& body = "body") const {
    return SendHttp(
        fleet.CallerAddress(node), method, "/order/x", body,
        {{"x-yuccastair-key", key.text}, {"Idempotency-Key", idempotency_key}});
  }

  ProcessFleet fleet;
  FakeTarget orders;
  const state::IssuedKey small_key =
      state::IssueKey("small", support::RandomHex);
  const state::IssuedKey large_key =
      state::IssueKey("large", support::RandomHex);
};

TEST_CASE("an organisation spends its burst once over two entries") {
  Services services(28200);
  REQUIRE(services.SetUp());
  int served = 0;
  for (int i = 0; i < 16; ++i) {
    const http::Exchange exchange =
        services.Send(i % 2, services.small_key, "GET", "");
    if (exchange.response.status == 201) {
      ++served;
      continue;
    }
    CHECK(exchange.response.status == 429);
    CHECK(OutcomeOf(exchange) == "not-run");
  }
  CHECK(served == 5);
}

TEST_CASE("a resend to another entry gets the first answer") {
  Services services(28300);
  REQUIRE(services.SetUp());
  const std::size_t before = services.orders.request_count();
  for (int i = 0; i < 4; ++i) {
    const http::Exchange exchange =
        services.Send(i % 2, services.large_key, "POST", "k1", "order 1");
    CHECK(exchange.response.status == 201);
    CHECK(exchange.response.body == "got order 1");
  }
  CHECK(services.orders.request_count() == before + 1);
  const http::Exchange other =
      services.Send(1, services.large_key, "POST", "k1", "order 2");
  CHECK(other.response.status == 409);
  CHECK(OutcomeOf(other) == "not-run");
}

// A target whose process ends as soon as it reads a request.
class CrashingTarget {
 public:
  CrashingTarget(std::uint16_t port, const support::Address& node)
      : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(listener_, 16) == 0);
    thread_ = std::thread([this] {
      const int connection = accept(listener_, nullptr, nullptr);
      char byte = 0;
      if (connection >= 0 && read(connection, &byte, 1) == 1)
        crashed = true;
      close(listener_);
      close(connection);
    });
    const json body = {{"service", "orders"},
                       {"incarnation", support::RandomId()},
                       {"address", "127.0.0.1:" + std::to_string(port)},
                       {"state", "up"}};
    SendHttp(node, "POST", "/yuccastair/announce", body.dump());
  }
  ~CrashingTarget() {
    // Ends a wait for a connection.
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
  }

  std::atomic<bool> crashed = false;

 private:
  const int listener_;
  std::thread thread_;
};

TEST_CASE("a request that crashes targets reaches two of them at most") {
  ProcessFleet fleet(28400, 1,
                     {"zone-a", "zone-a", "zone-a", "zone-a", "zone-a"});
  const state::IssuedKey key = state::IssueKey("large", support::RandomHex);
  REQUIRE(fleet.Change({RouteEdit("order"),
                        {{"kind", "organisation"},
                         {"name", "large"},
                         {"rate", 10000},
                         {"burst", 10000}},
                        KeyEdit(key)}));
  std::vector<std::unique_ptr<CrashingTarget>> targets;
  for (int i = 1; i < 5; ++i)
    targets.push_back(std::make_unique<CrashingTarget>(
        static_cast<std::uint16_t>(28450 + i), fleet.TargetSideAddress(i)));
  const auto crashed = [&] {
    int count = 0;
    for (const auto& target : targets)
      count += target->crashed ? 1 : 0;
    return count;
  };
  const auto send = [&] {
    return SendHttp(fleet.CallerAddress(0), "GET", "/order/x", "bad",
                    {{"x-yuccastair-key", key.text}});
  };
  REQUIRE(WaitUntil([&] {
    send();
    return crashed() > 0;
  }));
  for (int i = 0; i < 40; ++i)
    send();
  CHECK(crashed() <= 2);
}

}  // namespace
}  // namespace yuccastair
