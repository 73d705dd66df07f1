// A request that crashes each server that runs it comes again and again.

#include "fleet.h"

namespace review {
namespace {

constexpr int kServers = 4;
// A crashed server is back after this time.
constexpr Ms kDown{2500};
constexpr int kCrashesBefore = 3;
constexpr int kRetriesAfter = 8;
constexpr int kAllowed = 3;
constexpr Ms kPause{1500};

/// Servers that have begun to run the request.
struct Poison {
  std::mutex mutex;
  std::vector<AppServer*> crashed;
  std::atomic<int> runs = 0;
};

int Run(Setup& setup) {
  Fleet fleet(setup);
  Poison poison;
  const auto work = [&](AppServer& server, const Message& request, int fd) {
    if (request.path.find("/poison") == std::string::npos) {
      // Work that takes a while, and is lost with the server.
      Sleep(Ms(200));
      return AppServer::Serve(server, request, fd);
    }
    ++poison.runs;
    if (!setup.trouble)
      return AppServer::Serve(server, request, fd);
    const std::lock_guard lock(poison.mutex);
    poison.crashed.push_back(&server);
    return false;
  };
  std::vector<std::unique_ptr<AppServer>> servers;
  for (int i = 0; i <= kServers; ++i) {
    const std::string service = i == 0 ? "front" : "orders";
    servers.push_back(std::make_unique<AppServer>(
        setup, fleet.AddSidecar(service, i == 0 ? 0 : 1 + i % 2), service,
        "i-" + std::to_string(i), work));
    servers.back()->Start();
  }
  Machine& calm = fleet.sidecar(0);
  if (fleet.Put(MakeConfiguration(
          1, 0,
          json::array({MakeRoute("order", "unsafe", "orders"),
                       MakeRoute("read", "safe", "orders")}),
          json::array({MakeService("front"), MakeService("orders")}))) != 200)
    setup.CannotRun("the configuration is not accepted");
  fleet.AwaitReady();
  for (int i = 1; i <= kServers; ++i)
    fleet.AwaitService(calm, "/read/x", *servers[static_cast<std::size_t>(i)]);
  Sleep(kContact);

  // A server that has begun to run the request crashes, and is back later.
  std::atomic<bool> finished = false;
  std::thread crasher([&] {
    std::vector<std::pair<AppServer*, SteadyClock::time_point>> down;
    while (!finished || !down.empty()) {
      std::vector<AppServer*> crashed;
      {
        const std::lock_guard lock(poison.mutex);
        crashed.swap(poison.crashed);
      }
      for (AppServer* server : crashed) {
        const bool is_down =
            std::any_of(down.begin(), down.end(), [&](const auto& entry) {
              return entry.first == server;
            });
        if (is_down)
          continue;
        server->Crash();
        down.emplace_back(server, SteadyClock::now() + kDown);
      }
      std::erase_if(down, [&](const auto& entry) {
        if (SteadyClock::now() < entry.second)
          return false;
        entry.first->Start();
        return true;
      });
      Sleep(Ms(5));
    }
  });
  // Callers of other requests, of which each is one piece of accepted work.
  std::atomic<int> lost = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&, i] {
      for (int k = 0; !finished; ++k) {
        const Exchange exchange =
            fleet.Request(calm, "POST", "/order/x",
                          "order-" + std::to_string(i) + "-" + std::to_string(k),
                          Ms(3000), "order");
        lost += exchange.status == 502 || exchange.status == 504 ? 1 : 0;
        Sleep(Ms(100));
      }
    });
  }
  const auto send = [&](int number) {
    const int before = poison.runs;
    fleet.Request(calm, "GET", "/read/poison",
                  "poison-" + std::to_string(number), Ms(3000));
    return poison.runs - before;
  };
  int number = 0;
  while (poison.runs < kCrashesBefore && number < 20) {
    send(number++);
    Sleep(kPause);
  }
  Sleep(kContact);
  int reached = 0;
  for (int i = 0; i < kRetriesAfter; ++i) {
    reached += send(number++) > 0 ? 1 : 0;
    Sleep(kPause);
  }
  finished = true;
  crasher.join();
  for (std::thread& caller : callers)
    caller.join();
  const std::string counts =
      std::to_string(reached) + " of " + std::to_string(kRetriesAfter) +
      " retries reached servers later than " +
      std::to_string(kContact.count()) + " ms after the third crash; " +
      std::to_string(lost) + " other requests ended with 502 or 504";
  return Finish(setup, setup.trouble && reached > kAllowed, counts);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Setup setup(argc, argv);
  return review::Run(setup);
}
