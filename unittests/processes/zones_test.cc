// Availability zones, leaving targets and lost processes, with real processes.

#include <catch2/catch.hpp>

#include "process_fleet.h"

namespace yuccastair {
namespace {

using nlohmann::json;

constexpr int kBatch = 40;

http::Response Echo(const http::Request& request) {
  return {200, {}, "echo " + request.body, false};
}

json OpenRoute() {
  return {{{"kind", "route"},
           {"name", "orders"},
           {"service", "orders"},
           {"path", "/orders"}},
          {{"kind", "setting"},
           {"level", "route"},
           {"name", "orders"},
           {"key", "open"},
           {"value", true}}};
}

json ZoneOut(const std::string& zone, bool back_in) {
  json edit = {{"kind", "zone"}, {"name", zone}};
  if (back_in)
    edit["remove"] = true;
  return json::array({edit});
}

/// An entry in zone-a and one target each in zone-b and zone-c.
struct TwoZones {
  TwoZones(std::uint16_t base, int controls)
      : fleet(base, controls, {"zone-a", "zone-b", "zone-c"}),
        first("orders",
              static_cast<std::uint16_t>(base + 50),
              fleet.TargetSideAddress(1),
              Echo),
        second("orders",
               static_cast<std::uint16_t>(base + 51),
               fleet.TargetSideAddress(2),
               Echo) {}

  /// Returns whether both targets serve.
  bool SetUp() { return fleet.Change(OpenRoute()) && BothServe(); }

  bool BothServe() {
    const std::size_t first_before = first.request_count();
    const std::size_t second_before = second.request_count();
    return WaitUntil([&] {
      SendBatch();
      return first.request_count() > first_before &&
             second.request_count() > second_before;
    });
  }

  /// Sends requests one after the other; returns how many were served.
  int SendBatch() const {
    int served = 0;
    for (int i = 0; i < kBatch; ++i) {
      const http::Exchange exchange =
          SendHttp(fleet.CallerAddress(0), "GET", "/orders/x");
      if (exchange.response.status == 200)
        ++served;
    }
    return served;
  }

  /// Waits until a whole batch passes without the second target.
  bool SecondGetsNoMore() {
    return WaitUntil([&] {
      const std::size_t before = second.request_count();
      SendBatch();
      return second.request_count() == before;
    });
  }

  ProcessFleet fleet;
  FakeTarget first;
  FakeTarget second;
};

TEST_CASE("a zone that is out gets no new work and comes back") {
  TwoZones zones(23200, 1);
  REQUIRE(zones.SetUp());
  REQUIRE(zones.fleet.Change(ZoneOut("zone-c", false)));
  REQUIRE(zones.SecondGetsNoMore());
  const std::size_t before = zones.second.request_count();
  CHECK(zones.SendBatch() == kBatch);
  CHECK(zones.second.request_count() == before);
  REQUIRE(zones.fleet.Change(ZoneOut("zone-c", true)));
  CHECK(zones.BothServe());
}

TEST_CASE("a zone that is out refuses work from an entry inside it") {
  // Guards against a node that missed the change: the entry is beside the
  // target, and both are in the zone.
  TwoZones zones(23300, 1);
  REQUIRE(zones.SetUp());
  REQUIRE(zones.fleet.Change(ZoneOut("zone-b", false)));
  REQUIRE(zones.fleet.Change(ZoneOut("zone-c", false)));
  REQUIRE(WaitUntil([&] { return zones.SendBatch() == 0; }));
  const std::size_t first_before = zones.first.request_count();
  const std::size_t second_before = zones.second.request_count();
  for (const int entry : {0, 1, 2}) {
    const http::Exchange exchange =
        SendHttp(zones.fleet.CallerAddress(entry), "GET", "/orders/x");
    CHECK(exchange.response.status == 503);
    CHECK(http::FindHeader(exchange.response.headers, "x-yuccastair-outcome") ==
          "not-run");
  }
  CHECK(zones.first.request_count() == first_before);
  CHECK(zones.second.request_count() == second_before);
}

TEST_CASE("a target that announces that it leaves gets no new work") {
  TwoZones zones(23400, 1);
  REQUIRE(zones.SetUp());
  zones.second.set_state("leaving");
  REQUIRE(zones.SecondGetsNoMore());
  const std::size_t before = zones.second.request_count();
  CHECK(zones.SendBatch() == kBatch);
  CHECK(zones.second.request_count() == before);
}

TEST_CASE("reads go on while a target's node is killed") {
  TwoZones zones(23500, 1);
  REQUIRE(zones.SetUp());
  zones.fleet.node(2).Signal(SIGKILL);
  CHECK(zones.SendBatch() == kBatch);
}

TEST_CASE("settings outlive the leader and a restart of every process") {
  TwoZones zones(23600, 3);
  REQUIRE(zones.SetUp());
  const int leader = zones.fleet.Leader();
  REQUIRE(leader >= 0);
  zones.fleet.control(leader).Signal(SIGKILL);
  REQUIRE(zones.fleet.Change(ZoneOut("zone-c", false)));
  REQUIRE(zones.SecondGetsNoMore());
  for (const int control : {0, 1, 2})
    zones.fleet.control(control).Signal(SIGKILL);
  for (const int control : {0, 1, 2})
    zones.fleet.StartControl(control);
  zones.fleet.node(0).Signal(SIGKILL);
  zones.fleet.StartNode(0);
  REQUIRE(WaitUntil([&] { return zones.SendBatch() == kBatch; }));
  const std::size_t before = zones.second.request_count();
  CHECK(zones.SendBatch() == kBatch);
  CHECK(zones.second.request_count() == before);
}

}  // namespace
}  // namespace yuccastair
