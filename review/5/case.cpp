// A relay that was started again acknowledges that its server leaves, and
// forgets it.

#include "fleet.hpp"

namespace review {
namespace {

constexpr Ms kDown{500};
// A heartbeat that was sent before the server left arrives so late.
constexpr Ms kLateness{3000};
// The server serves on for so long after the acknowledgement.
constexpr Ms kServedOn{10000};

int Run(Setup& setup) {
  Fleet fleet(setup);
  // The clients' machine runs a service of its own; the two servers that they
  // use are in two other zones.
  std::vector<std::unique_ptr<AppServer>> servers;
  for (int i = 0; i < 3; ++i) {
    const std::string service = i == 0 ? "front" : "orders";
    servers.push_back(std::make_unique<AppServer>(
        setup, fleet.AddSidecar(service), service, "i-" + std::to_string(i)));
    servers.back()->Start();
  }
  Machine& calm = fleet.sidecar(0);
  AppServer& leaving = *servers[1];
  if (fleet.Put(MakeConfiguration(
          1, 0, json::array({MakeRoute("read", "safe", "orders")}),
          json::array({MakeService("front"), MakeService("orders")}))) != 200)
    setup.CannotRun("the configuration is not accepted");
  fleet.AwaitReady();
  fleet.AwaitService(calm, "/read/x", leaving);
  fleet.AwaitService(calm, "/read/x", *servers[2]);
  Clients clients(fleet, {&calm}, "/read/x", "c-", Ms(20));
  Sleep(kContact);

  // The next heartbeat is due kHeartbeat after this one.
  leaving.StopBeating();
  if (leaving.Beat(leaving.NextBeat()) / 100 != 2)
    setup.CannotRun("a heartbeat is not acknowledged");
  const auto due = SteadyClock::now() + kHeartbeat;
  if (setup.trouble)
    fleet.sidecar(1).Restart(kDown);
  const std::int64_t started = setup.record.Now();
  std::this_thread::sleep_until(due);
  const std::string late = leaving.NextBeat();
  setup.record.Add("server i-1: sends a heartbeat, which will be late");
  Sleep(Ms(200));
  // This server never reports that it is draining.
  int status = 0;
  for (int i = 0; i < 20 && status / 100 != 2; ++i) {
    status = leaving.Deregister();
    Sleep(Ms(20));
  }
  if (status / 100 != 2)
    setup.CannotRun("the server's leaving is not acknowledged");
  const std::int64_t acknowledged = setup.record.Now();
  setup.record.Add("server i-1: leaves, acknowledged");
  std::this_thread::sleep_until(due + kLateness);
  setup.record.Add("server i-1: the late heartbeat arrives, answered " +
                   std::to_string(leaving.Beat(late)));
  Sleep(Ms(acknowledged + kServedOn.count() - setup.record.Now()));
  const std::int64_t end = setup.record.Now();
  leaving.Crash();
  Sleep(Ms(500));
  clients.Stop();

  const std::int64_t from =
      std::max(acknowledged + kDrain.count(), started + kContact.count());
  int count = 0;
  for (const Arrival& arrival : leaving.arrivals())
    count += arrival.run && arrival.at > from && arrival.at < end ? 1 : 0;
  return Finish(setup, count > 0,
                std::to_string(count) +
                    " requests reached the server later than " +
                    std::to_string(kDrain.count()) +
                    " ms after its relay acknowledged that it leaves");
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Setup setup(argc, argv);
  return review::Run(setup);
}
