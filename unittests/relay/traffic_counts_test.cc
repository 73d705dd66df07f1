// Tests the counts of traffic between the processes of the system.

#include "traffic_counts.h"

#include <catch2/catch.hpp>

namespace yuccastair::relay {
namespace {

TEST_CASE("traffic is counted by purpose and by whether it crosses zones") {
  observe::Metrics metrics;
  TrafficCounts traffic(metrics, "a");
  traffic.Record("sync", "a", 100);
  traffic.Record("sync", "a", 50);
  traffic.Record("sync", "b", 7);
  traffic.Record("rates", "", 9);
  CHECK(traffic.TakeJson() ==
        nlohmann::json(
            {{"sync",
              {{"local", {{"messages", 2}, {"bytes", 150}}},
               {"other", {{"messages", 1}, {"bytes", 7}}}}},
             {"rates", {{"unknown", {{"messages", 1}, {"bytes", 9}}}}}}));
  CHECK(traffic.TakeJson().empty());
  traffic.Record("sync", "a", 1);
  traffic.TakeJson();
  CHECK(metrics.CounterValue("yuccastair_relay_bytes_total",
                             {{"purpose", "sync"}, {"zone", "local"}}) == 151);
  CHECK(metrics.CounterValue("yuccastair_relay_messages_total",
                             {{"purpose", "sync"}, {"zone", "local"}}) == 3);
}

}  // namespace
}  // namespace yuccastair::relay
