// A target says that it leaves while its relay is killed and starts again.

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "soak_layout.h"
#include "system_client.h"
#include "system_process.h"

namespace yuccastair {
namespace {

using namespace std::chrono_literals;
using stream::Task;
namespace asio = stream::asio;
namespace http = stream::http;

constexpr int kRelays = 2;
constexpr auto kCallPause = 20ms;
// Drain time of the relays (SoakLayout), and a margin.
constexpr auto kDrained = 2500ms;
constexpr auto kObserved = 2000ms;
// Control processes forget a relay that is silent for 3 s.
constexpr auto kLongerThanMembershipExpiry = 3500ms;
// A departure is acknowledged within this time whatever happens.
constexpr auto kMaxAcknowledgementTime = 4000ms;

/// Callers of relay 0 use the target of relay 1, the only one, which leaves.
class DepartingTarget : private SystemClient {
 public:
  explicit DepartingTarget(std::uint64_t ports)
      : layout_(SoakLayout::kDepartingTargetPorts, ports) {
    for (int i = 0; i < SoakLayout::kControls; ++i)
      controls_.push_back(
          std::make_unique<Process>("control", layout_.ControlSettings(i)));
    for (int i = 0; i < kRelays; ++i) {
      targets_.push_back(ServingTarget());
      relays_.push_back(std::make_unique<Process>(
          "relay", layout_.RelaySettings(i, targets_.back()->address())));
    }
    Await("a policy", [&] {
      return Ask(layout_.Policy(0), http::verb::post, "/yuccastair/Config.Put",
                 SoakLayout::Document(0, 1).dump())
                 .status == 200;
    });
    asio::co_spawn(context(), Call(), asio::detached);
    Await("requests at the target", [&] {
      Beat(++sequence_);
      return RequestCount() > 0;
    });
  }
  ~DepartingTarget() {
    *finished_ = true;
    // What runs in the context refers to this object.
    context().stop();
  }

  using SystemClient::RunFor;

  /// Kills the relay and waits until it takes calls of its target again.
  void RestartRelay(std::chrono::milliseconds down_time = 0ms) {
    Process& relay = *relays_[1];
    relay.Signal(SIGKILL);
    relay.Wait();
    RunFor(down_time);
    relay.Start();
    Await("the relay", [&] {
      return Ask(layout_.Ready(1), http::verb::get, "/yuccastair/ready")
                 .status == 200;
    });
  }

  /// Sends the heartbeat with \p sequence.
  unsigned Beat(int sequence, const std::string& state = "ready") {
    return Ask(layout_.TargetCalls(1), http::verb::post,
               "/yuccastair/Instances.Heartbeat/i-1",
               nlohmann::json(
                   {{"addr", targets_[1]->address().ToString()},
                    {"born", kBorn},
                    {"info", {{"service", "s1"}, {"slots", 20}}},
                    {"status",
                     {{"state", state}, {"seq", sequence}, {"coldLeftMs", 0}}}})
                   .dump())
        .status;
  }
  void FreezeControl() {
    for (const auto& control : controls_)
      control->Freeze();
  }
  void ContinueControl() {
    for (const auto& control : controls_)
      control->Signal(SIGCONT);
  }
  template <typename Condition>
  void AwaitThat(const std::string& what, Condition condition) {
    Await(what, condition);
  }
  unsigned Deregister() {
    return Ask(layout_.TargetCalls(1), http::verb::post,
               "/yuccastair/Instances.Deregister/i-1",
               nlohmann::json({{"born", kBorn}}).dump())
        .status;
  }
  int sequence() const { return sequence_; }

  std::size_t RequestCount() const { return targets_[1]->requests().size(); }

 private:
  static constexpr std::uint64_t kBorn = 1'700'000'000'000;

  Task<void> Call() {
    stream::ConnectionPool pool(context(), {});
    for (int i = 0; !*finished_; ++i) {
      Answer answer;
      co_await Exchange(pool, layout_.Callers(0), http::verb::get, "/safe/x",
                        "", "r" + std::to_string(i), "", answer);
      co_await Pause(kCallPause);
    }
  }

  const SoakLayout layout_;
  std::vector<std::unique_ptr<relay::ScriptedTarget>> targets_;
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::unique_ptr<Process>> relays_;
  int sequence_ = 0;
  std::shared_ptr<bool> finished_ = std::make_shared<bool>(false);
};

// Guards against a target that is used again after its relay has acknowledged
// that it leaves, because the relay was killed before or after that.
TEST_CASE("a late heartbeat does not bring back a target that has left") {
  DepartingTarget system(1);
  const int late = system.sequence() + 1;
  SECTION("and deregistered at a relay that had just started") {
    system.RestartRelay();
    REQUIRE(system.Deregister() == 200);
  }
  SECTION("and deregistered before its relay was killed") {
    REQUIRE(system.Deregister() == 200);
    system.RunFor(200ms);
    system.RestartRelay();
  }
  SECTION("and drained before its relay was killed") {
    REQUIRE(system.Beat(late + 1, "draining") == 200);
    system.RunFor(200ms);
    system.RestartRelay();
  }
  SECTION("and deregistered just before its relay was killed") {
    REQUIRE(system.Deregister() == 200);
    system.RestartRelay();
  }
  SECTION("and drained just before its relay was killed") {
    REQUIRE(system.Beat(late + 1, "draining") == 200);
    system.RestartRelay();
  }
  SECTION("and deregistered before its relay was away for long") {
    REQUIRE(system.Deregister() == 200);
    system.RunFor(200ms);
    system.RestartRelay(kLongerThanMembershipExpiry);
  }
  CHECK(system.Beat(late) == 200);
  system.RunFor(kDrained);
  const std::size_t before = system.RequestCount();
  system.RunFor(kObserved);
  CHECK(system.RequestCount() == before);
}

// Guards against an acknowledgement of a departure that only the relay knows.
TEST_CASE("a departure is acknowledged once control processes hold it") {
  DepartingTarget system(2);
  const int late = system.sequence() + 1;
  system.FreezeControl();
  CHECK(system.Deregister() == 503);
  system.ContinueControl();
  system.AwaitThat("an acknowledgement",
                   [&] { return system.Deregister() == 200; });
  system.RestartRelay();
  CHECK(system.Beat(late) == 200);
  system.RunFor(kDrained);
  const std::size_t before = system.RequestCount();
  system.RunFor(kObserved);
  CHECK(system.RequestCount() == before);
}

TEST_CASE("a target may leave while no control process is in reach") {
  DepartingTarget system(3);
  system.FreezeControl();
  const support::SteadyClock clock;
  const support::TimePoint began = clock.Now();
  system.AwaitThat("an acknowledgement",
                   [&] { return system.Deregister() == 200; });
  CHECK(clock.Now() - began <= kMaxAcknowledgementTime);
  system.RunFor(kDrained);
  const std::size_t before = system.RequestCount();
  system.RunFor(kObserved);
  CHECK(system.RequestCount() == before);
}

}  // namespace
}  // namespace yuccastair
