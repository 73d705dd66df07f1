// An order that a control process reads late takes an evacuation back that was
// ordered after it.

#include "fleet.hpp"

namespace review {
namespace {

// The sites name 3.5 s and more.
constexpr Ms kFreeze{1500};
// An order that is read late is passed on only if the process knows the leader
// again by then, so it takes some attempts.
constexpr Ms kAttemptsEnd{85000};
constexpr int kAttemptsWithoutTrouble = 2;

bool Evacuate(Fleet& fleet, const std::string& zone, bool out, int first) {
  const std::string path = std::string("/yuccastair/Evacuations.") +
                           (out ? "Start/" : "End/") + zone;
  return fleet.Order("POST", path, "", first) / 100 == 2;
}

int CountRuns(const AppServer& server, std::int64_t from) {
  int count = 0;
  for (const Arrival& arrival : server.arrivals())
    count += arrival.run && arrival.at > from ? 1 : 0;
  return count;
}

/// Returns how many orders the control processes say that they have carried
/// out.
int CountOperations(Fleet& fleet) {
  int count = 0;
  for (int i = 0; i < Fleet::kControls; ++i) {
    const std::string log = fleet.control(i).process().Log();
    const std::string mark = "\"event\":\"policy.operated\"";
    for (std::size_t at = log.find(mark); at != std::string::npos;
         at = log.find(mark, at + 1))
      ++count;
  }
  return count;
}

/// Takes an evacuation back and orders it again while a control process stands
/// still. Returns how many requests reach the zone although it is evacuated.
int Attempt(Setup& setup,
            Fleet& fleet,
            const AppServer& evacuated,
            const std::string& zone) {
  if (!Evacuate(fleet, zone, true, 0))
    setup.CannotRun("the first evacuation is not acknowledged");
  Sleep(Ms(500));
  const int leader = fleet.Leader();
  const int stopped = (leader + 1) % Fleet::kControls;
  const int other = (leader + 2) % Fleet::kControls;
  setup.record.Add("leader: " + fleet.control(leader).name());
  const auto thaw = SteadyClock::now() + kFreeze;
  if (setup.trouble) {
    fleet.control(stopped).process().Signal(SIGSTOP);
    setup.record.Add(fleet.control(stopped).name() + ": freezes");
  }
  // The operator turns to the node that stands still first, and to the next one
  // after a second.
  if (!Evacuate(fleet, zone, false, stopped))
    setup.CannotRun("the end of the evacuation is not acknowledged");
  Sleep(Ms(100));
  if (!Evacuate(fleet, zone, true, other))
    setup.CannotRun("the second evacuation is not acknowledged");
  const std::int64_t acknowledged = setup.record.Now();
  Sleep(Ms(50));
  const int operations = CountOperations(fleet);
  std::this_thread::sleep_until(thaw);
  if (setup.trouble) {
    fleet.control(stopped).process().Signal(SIGCONT);
    setup.record.Add(fleet.control(stopped).name() + ": wakes");
  }
  const std::int64_t woken = setup.record.Now();
  Sleep(Ms(400));
  // Nothing was carried out after the second evacuation.
  if (CountOperations(fleet) == operations)
    return 0;
  // All machines are in touch again after contactMs.
  // The freeze makes the core unstable, which may stretch the deadline.
  const std::int64_t from =
      std::max(acknowledged + (kEvacuationDeadline + kMaxStretch).count(),
               woken + kContact.count());
  Sleep(Ms(from - setup.record.Now() + 4000));
  return CountRuns(evacuated, from);
}

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
  AppServer& evacuated = *servers[1];
  const std::string zone = fleet.sidecar(1).zone();
  if (fleet.Put(MakeConfiguration(
          1, 0, json::array({MakeRoute("read", "safe", "orders")}),
          json::array({MakeService("front"), MakeService("orders")}))) != 200)
    setup.CannotRun("the configuration is not accepted");
  fleet.AwaitReady();
  fleet.AwaitService(calm, "/read/x", evacuated);
  fleet.AwaitService(calm, "/read/x", *servers[2]);
  // Clients of the machine in the zone that stays in service, so that all
  // requests come from a machine in touch.
  Clients clients(fleet, {&calm}, "/read/x", "c-", Ms(20));
  Sleep(kContact);

  int late = 0;
  int attempts = 0;
  while (setup.record.Now() < kAttemptsEnd.count() &&
         (setup.trouble || attempts < kAttemptsWithoutTrouble)) {
    ++attempts;
    late = Attempt(setup, fleet, evacuated, zone);
    if (late > 0)
      break;
    if (!Evacuate(fleet, zone, false, 0))
      setup.CannotRun("the zone is not taken back");
    Sleep(Ms(300));
  }
  clients.Stop();
  return Finish(
      setup, late > 0,
      std::to_string(late) + " requests reached the server of " + zone +
          " later than " +
          std::to_string((kEvacuationDeadline + kMaxStretch).count()) +
          " ms after its evacuation was acknowledged, in attempt " +
          std::to_string(attempts));
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Setup setup(argc, argv);
  return review::Run(setup);
}
