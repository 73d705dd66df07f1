// Every process of the system ends at once and returns in random order, under
// load and while a zone is out of service.
//
// YUCCASTAIR_SEED runs one seed; YUCCASTAIR_SEEDS sets how many are run.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "relay/scripted_target.h"
#include "seeds.h"
#include "soak_layout.h"
#include "system_client.h"
#include "system_process.h"

namespace yuccastair {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using stream::Task;
namespace asio = stream::asio;
namespace http = stream::http;

constexpr int kRelays = 3;
constexpr int kCallersOfRelay = 4;
constexpr auto kCallPause = 25ms;
// Service is to be whole this long after all processes are back.
constexpr auto kRecoveryTime = 15s;
constexpr auto kLongestDelay = 1500ms;
constexpr auto kWindow = 500ms;
constexpr double kWholeShare = 0.95;
// Of targets that start again after a loss of power.
constexpr auto kColdTime = 1000ms;
constexpr double kColdPerSecond = 20;
constexpr auto kPowerAway = 500ms;

class WholeRestart : private SystemClient {
 public:
  explicit WholeRestart(std::uint64_t seed)
      : random_(seed), layout_(SoakLayout::kWholeRestartPorts, seed) {
    for (int i = 0; i < SoakLayout::kControls; ++i)
      processes_.push_back(
          std::make_unique<Process>("control", layout_.ControlSettings(i)));
    for (int i = 0; i < kRelays; ++i) {
      targets_.push_back(ServingTarget());
      processes_.push_back(std::make_unique<Process>(
          "relay", layout_.RelaySettings(i, targets_.back()->address())));
    }
  }

  ~WholeRestart() {
    // What runs in the context refers to this object.
    context().stop();
  }

  /// Brings the system into service with zone "z0" out.
  void Begin() {
    document_ = SoakLayout::Document(0, 1);
    document_["tenants"] = {{{"name", "acme"},
                             {"apiKeys", {"key1"}},
                             {"ratePerS", 2000},
                             {"burst", 2000}}};
    document_["services"][0]["coldStartS"] = kColdTime.count() / 1000.0;
    document_["services"][0]["coldPerS"] = kColdPerSecond;
    Await("a policy", [&] {
      return Post("/yuccastair/Config.Put", document_.dump()) == 200;
    });
    StartTargets(0ms);
    for (int i = 0; i < kRelays * kCallersOfRelay; ++i)
      asio::co_spawn(context(), Call(i % kRelays), asio::detached);
    AwaitWhole(kAwaitLimit);
    Await("the evacuation",
          [&] { return Post("/yuccastair/Evacuations.Start/z0") == 200; });
    Await("a quiet target in z0", [&] {
      const std::size_t before = TargetOf(0).requests().size();
      RunFor(kWindow);
      return TargetOf(0).requests().size() == before;
    });
    AwaitWhole(kAwaitLimit);
  }

  /// Ends all processes and starts them again; one control process may have
  /// lost its disk. With a loss of power the targets end too and return cold.
  void Restart(bool power_lost) {
    if (power_lost)
      *targets_ended_ = true;
    for (const auto& process : processes_)
      process->Signal(SIGKILL);
    for (const auto& process : processes_)
      process->Wait();
    if (power_lost) {
      // The last heartbeat of a target may still be on its way.
      RunFor(kPowerAway);
      StartTargets(kColdTime);
    }
    const int wiped = Below(2 * SoakLayout::kControls);
    for (int i = 0; i < SoakLayout::kControls; ++i) {
      layout_.ControlSettings(i, false);
      if (i == wiped)
        std::filesystem::remove_all(layout_.DataDir(i));
    }
    std::vector<std::pair<milliseconds, Process*>> starts;
    for (const auto& process : processes_)
      starts.emplace_back(Below(static_cast<int>(kLongestDelay.count())),
                          process.get());
    std::sort(starts.begin(), starts.end());
    milliseconds passed(0);
    for (const auto& [delay, process] : starts) {
      RunFor(delay - passed);
      passed = delay;
      process->Start();
    }
  }

  /// Waits until nearly all requests are served; returns how long that took.
  support::Duration AwaitWhole(support::Duration limit) {
    const auto began = clock_.Now();
    while (true) {
      RunFor(100ms);
      const auto now = clock_.Now();
      std::size_t ended = 0;
      std::size_t served = 0;
      for (auto it = ends_.rbegin();
           it != ends_.rend() && it->first >= std::max(began, now - kWindow);
           ++it) {
        ++ended;
        served += it->second ? 1 : 0;
      }
      if (now - began >= kWindow && ended > 0 &&
          static_cast<double>(served) >=
              kWholeShare * static_cast<double>(ended))
        return now - kWindow - began;
      if (now - began > limit)
        FAIL("service did not become whole: " << served << " of " << ended);
    }
  }

  std::size_t RequestsInZoneOut() { return TargetOf(0).requests().size(); }

  /// Returns the policy that is read, once there is an answer.
  nlohmann::json ReadPolicy() {
    nlohmann::json read;
    Await("the policy", [&] {
      const Answer answer = Ask(layout_.Policy(Below(SoakLayout::kControls)),
                                http::verb::get, "/yuccastair/Config.Get");
      if (answer.status == 200)
        read = nlohmann::json::parse(answer.body);
      return answer.status == 200;
    });
    return read;
  }
  const nlohmann::json& document() const { return document_; }

  void End() {
    *finished_ = true;
    *targets_ended_ = true;
    RunFor(200ms);
  }

 private:
  /// Starts new processes of all targets.
  void StartTargets(milliseconds cold) {
    targets_ended_ = std::make_shared<bool>(false);
    ++target_generation_;
    for (int i = 0; i < kRelays; ++i)
      asio::co_spawn(context(),
                     Announce("i-" + std::to_string(i) + "-" +
                                  std::to_string(target_generation_),
                              TargetOf(i).address(), layout_.TargetCalls(i),
                              targets_ended_, cold),
                     asio::detached);
  }

  int Below(int bound) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(bound));
  }

  relay::ScriptedTarget& TargetOf(int i) {
    return *targets_[static_cast<std::size_t>(i)];
  }

  unsigned Post(const std::string& path, const std::string& body = "") {
    return Ask(layout_.Policy(Below(SoakLayout::kControls)), http::verb::post,
               path, body)
        .status;
  }

  Task<void> Call(int relay) {
    stream::ConnectionPool pool(context(), {});
    while (!*finished_) {
      Answer answer;
      co_await Exchange(pool, layout_.Callers(relay), http::verb::get,
                        "/safe/x", "", "r" + std::to_string(++sent_), "key1",
                        answer);
      ends_.emplace_back(clock_.Now(), answer.status == 200);
      co_await Pause(kCallPause);
    }
  }

  std::mt19937_64 random_;
  const support::SteadyClock clock_;
  const SoakLayout layout_;
  nlohmann::json document_;
  std::vector<std::unique_ptr<relay::ScriptedTarget>> targets_;
  // Those of control, then the relays.
  std::vector<std::unique_ptr<Process>> processes_;
  // When each request ended, and whether it was served.
  std::vector<std::pair<support::TimePoint, bool>> ends_;
  std::uint64_t sent_ = 0;
  int target_generation_ = 0;
  // Of the present processes of the targets.
  std::shared_ptr<bool> targets_ended_;
  std::shared_ptr<bool> finished_ = std::make_shared<bool>(false);
};

/// Plays the whole system through one fault, for each seed.
void CheckReturn(bool power_lost) {
  constexpr std::uint64_t kDefaultSeeds = 2;
  for (const std::uint64_t seed : SeedsToRun(kDefaultSeeds)) {
    INFO("again: YUCCASTAIR_SEED=" << seed << " platform_whole_restart_test");
    WholeRestart system(seed);
    system.Begin();
    const std::size_t before = system.RequestsInZoneOut();
    system.Restart(power_lost);
    const auto took = system.AwaitWhole(kRecoveryTime);
    std::printf("seed %llu%s: whole %lld ms after the last start\n",
                static_cast<unsigned long long>(seed),
                power_lost ? ", power lost" : "",
                static_cast<long long>(
                    std::chrono::duration_cast<milliseconds>(took).count()));
    CHECK(system.RequestsInZoneOut() == before);
    CHECK(system.ReadPolicy() == system.document());
    system.End();
  }
}

// Guards against a system that does not come back by itself, forgets what it
// has acknowledged, or uses a zone that is out while it comes back.
TEST_CASE("service is whole after every process has ended at once") {
  CheckReturn(false);
}

// Guards against the same where the targets are gone as well and return cold.
TEST_CASE("service is whole after a loss of all power") {
  CheckReturn(true);
}

}  // namespace
}  // namespace yuccastair
