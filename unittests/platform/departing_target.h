// A service whose only target is told to leave.

#ifndef YUCCASTAIR_UNITTESTS_PLATFORM_DEPARTING_TARGET_H_
#define YUCCASTAIR_UNITTESTS_PLATFORM_DEPARTING_TARGET_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "soak_layout.h"
#include "system_client.h"
#include "system_process.h"

namespace yuccastair {

/// Callers of relay 0 use the target of relay 1, the only one, which leaves.
class DepartingTarget : private SystemClient {
 public:
  explicit DepartingTarget(std::uint64_t ports,
                           int first_port = SoakLayout::kDepartingTargetPorts)
      : layout_(first_port, ports) {
    for (int i = 0; i < SoakLayout::kControls; ++i)
      controls_.push_back(
          std::make_unique<Process>("control", layout_.ControlSettings(i)));
    for (int i = 0; i < kRelays; ++i) {
      targets_.push_back(ServingTarget());
      relays_.push_back(std::make_unique<Process>(
          "relay", layout_.RelaySettings(i, targets_.back()->address())));
    }
    Await("a policy", [&] {
      return Ask(layout_.Policy(0), stream::http::verb::post,
                 "/yuccastair/Config.Put", SoakLayout::Document(0, 1).dump())
                 .status == 200;
    });
    stream::asio::co_spawn(context(), Call(), stream::asio::detached);
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
  void RestartRelay(std::chrono::milliseconds down_time = {}) {
    Process& relay = *relays_[1];
    relay.Signal(SIGKILL);
    relay.Wait();
    RunFor(down_time);
    relay.Start();
    Await("the relay", [&] {
      return Ask(layout_.Ready(1), stream::http::verb::get, "/yuccastair/ready")
                 .status == 200;
    });
  }

  /// Sends the heartbeat with \p sequence.
  unsigned Beat(int sequence, const std::string& state = "ready") {
    return Ask(layout_.TargetCalls(1), stream::http::verb::post,
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
    return Ask(layout_.TargetCalls(1), stream::http::verb::post,
               "/yuccastair/Instances.Deregister/i-1",
               nlohmann::json({{"born", kBorn}}).dump())
        .status;
  }
  int sequence() const { return sequence_; }

  /// Sends an operator's order, without a body, to a control process.
  unsigned Order(const std::string& path) {
    return Ask(layout_.Policy(0), stream::http::verb::post, path).status;
  }

  std::size_t RequestCount() const { return targets_[1]->requests().size(); }

 private:
  static constexpr int kRelays = 2;
  static constexpr std::chrono::milliseconds kCallPause{20};
  static constexpr std::uint64_t kBorn = 1'700'000'000'000;

  stream::Task<void> Call() {
    stream::ConnectionPool pool(context(), {});
    for (int i = 0; !*finished_; ++i) {
      Answer answer;
      co_await Exchange(pool, layout_.Callers(0), stream::http::verb::get,
                        "/safe/x", "", "r" + std::to_string(i), "", answer);
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

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_PLATFORM_DEPARTING_TARGET_H_
