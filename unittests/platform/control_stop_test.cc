// A control process is stopped as planned while operators go on using it.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

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

// Operators have so many calls under way at most.
constexpr int kOperators = 8;
// Longest answer to a call, and a margin.
constexpr milliseconds kMaxStopTime{2500};

/// A change of the policy that adds a route of its own.
struct Change {
  std::string prefix;
  Answer answer;
};

/// Three control processes, one of which is stopped, and operators who send
/// changes to it.
class StoppingControl : private SystemClient {
 public:
  explicit StoppingControl(int stopped, std::uint64_t ports)
      : layout_(SoakLayout::kControlStopPorts, ports), stopped_(stopped) {
    for (int i = 0; i < SoakLayout::kControls; ++i)
      controls_.push_back(
          std::make_unique<Process>("control", layout_.ControlSettings(i)));
    Await("a policy", [&] {
      return Ask(layout_.Policy(stopped_), http::verb::post,
                 "/yuccastair/Config.Put", document_.dump())
                 .status == 200;
    });
  }

  ~StoppingControl() {
    *finished_ = true;
    // What runs in the context refers to this object.
    context().stop();
  }

  using SystemClient::RunFor;

  /// Sends changes on a kept connection, one after the other, until Finish().
  void StartOperator() {
    asio::co_spawn(
        context(),
        [this]() -> Task<void> {
          stream::ConnectionPool pool(context(), {});
          while (!*finished_) {
            const auto change = NewChange();
            co_await Send(pool, change);
            // The process is gone.
            if (!change->answer.sent)
              co_await Pause(5ms);
          }
        },
        asio::detached);
  }

  /// Sends one change on a connection of \p pool.
  std::shared_ptr<Change> SendOnce(
      const std::shared_ptr<stream::ConnectionPool>& pool) {
    auto change = NewChange();
    asio::co_spawn(
        context(),
        [this, pool, change]() -> Task<void> { co_await Send(*pool, change); },
        asio::detached);
    return change;
  }
  std::shared_ptr<stream::ConnectionPool> NewPool() {
    return std::make_shared<stream::ConnectionPool>(
        context(), stream::ConnectionPool::Options());
  }

  /// Freezes the other processes, without which nothing is committed.
  void FreezeOthers() {
    for (int i = 0; i < SoakLayout::kControls; ++i) {
      if (i != stopped_)
        controls_[static_cast<std::size_t>(i)]->Freeze();
    }
  }
  void ThawOthers() {
    for (int i = 0; i < SoakLayout::kControls; ++i) {
      if (i != stopped_)
        controls_[static_cast<std::size_t>(i)]->Signal(SIGCONT);
    }
  }

  void SignalStopped(int signal) { stopped().Signal(signal); }

  void Stop() {
    stopped_at_ = support::SteadyClock().Now();
    SignalStopped(SIGTERM);
  }
  /// Returns how long the process took to stop.
  milliseconds AwaitEnd() {
    Await("the end of the process", [&] { return stopped().HasEnded(); });
    return std::chrono::duration_cast<milliseconds>(
        support::SteadyClock().Now() - stopped_at_);
  }
  bool ended_well() { return stopped().ended_well(); }

  void Finish() {
    *finished_ = true;
    RunFor(100ms);
  }

  std::size_t CountAnswers(unsigned status) const {
    return static_cast<std::size_t>(std::count_if(
        changes_.begin(), changes_.end(), [status](const auto& change) {
          return change->answer.status == status;
        }));
  }

  /// The changes that are in force without a whole answer, or whose answer is
  /// not true, each with its status.
  std::vector<std::string> BrokenChanges() {
    const std::set<std::string> in_force = ReadPrefixes();
    std::vector<std::string> broken;
    for (const auto& change : changes_) {
      const unsigned status = change->answer.status;
      const bool is_in_force = in_force.count(change->prefix) > 0;
      if (status == 503 || is_in_force == (status == 200))
        continue;
      broken.push_back(change->prefix + ": status " + std::to_string(status) +
                       (is_in_force ? ", in force" : ", not in force"));
    }
    return broken;
  }

 private:
  Process& stopped() { return *controls_[static_cast<std::size_t>(stopped_)]; }

  std::shared_ptr<Change> NewChange() {
    changes_.push_back(std::make_shared<Change>());
    changes_.back()->prefix = "/c" + std::to_string(changes_.size()) + "/";
    return changes_.back();
  }

  /// Sends a change on top of the newest acknowledged one.
  Task<void> Send(stream::ConnectionPool& pool,
                  std::shared_ptr<Change> change) {
    const int base = document_["version"];
    nlohmann::json document = document_;
    document["baseVersion"] = base;
    document["version"] = base + 1;
    document["routes"].push_back(document["routes"][0]);
    document["routes"].back()["name"] = change->prefix;
    document["routes"].back()["pathPrefix"] = change->prefix;
    co_await Exchange(pool, layout_.Policy(stopped_), http::verb::post,
                      "/yuccastair/Config.Put", document.dump(), change->prefix,
                      "", change->answer);
    if (change->answer.status == 200)
      document_ = document;
  }

  /// Reads the prefixes of the routes in force from another process.
  std::set<std::string> ReadPrefixes() {
    std::set<std::string> prefixes;
    Await("the policy", [&] {
      const Answer answer =
          Ask(layout_.Policy((stopped_ + 1) % SoakLayout::kControls),
              http::verb::get, "/yuccastair/Config.Get");
      if (answer.status != 200)
        return false;
      const auto document = nlohmann::json::parse(answer.body);
      for (const auto& route : document["routes"])
        prefixes.insert(route["pathPrefix"].get<std::string>());
      return true;
    });
    return prefixes;
  }

  const SoakLayout layout_;
  const int stopped_;
  // The newest acknowledged policy.
  nlohmann::json document_ = SoakLayout::Document(0, 1);
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::shared_ptr<Change>> changes_;
  support::TimePoint stopped_at_;
  std::shared_ptr<bool> finished_ = std::make_shared<bool>(false);
};

TEST_CASE("a stopping control process keeps no accepted change unanswered") {
  // One of them is the leader.
  for (int stopped = 0; stopped < SoakLayout::kControls; ++stopped) {
    INFO("control process " << stopped);
    StoppingControl system(stopped, static_cast<std::uint64_t>(stopped));
    for (int i = 0; i < kOperators; ++i)
      system.StartOperator();
    system.RunFor(500ms);
    system.Stop();
    const milliseconds stop_time = system.AwaitEnd();
    system.Finish();
    CHECK(system.BrokenChanges() == std::vector<std::string>());
    CHECK(stop_time < kMaxStopTime);
    CHECK(system.ended_well());
    CHECK(system.CountAnswers(200) > 1);
  }
}

TEST_CASE("a stopping control process answers the calls that it has read") {
  for (int stopped = 0; stopped < SoakLayout::kControls; ++stopped) {
    INFO("control process " << stopped);
    StoppingControl system(stopped, static_cast<std::uint64_t>(3 + stopped));
    const auto kept = system.NewPool();
    const auto first = system.SendOnce(kept);
    system.RunFor(500ms);
    REQUIRE(first->answer.status == 200);
    system.FreezeOthers();
    const auto pending = system.SendOnce(system.NewPool());
    system.RunFor(100ms);
    CHECK(pending->answer.status == 0);
    system.Stop();
    system.RunFor(200ms);
    system.SignalStopped(SIGHUP);
    system.SignalStopped(SIGTERM);
    const auto late = system.SendOnce(kept);
    const milliseconds stop_time = system.AwaitEnd();
    system.Finish();
    system.ThawOthers();
    CHECK(pending->answer.status == 503);
    CHECK(system.BrokenChanges() == std::vector<std::string>());
    CHECK(stop_time < kMaxStopTime);
    CHECK(system.ended_well());
  }
}

}  // namespace
}  // namespace yuccastair
