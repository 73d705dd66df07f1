// Relays and control processes under a seeded series of signals, restarts and
// changes, with callers that keep their connections open throughout.
//
// YUCCASTAIR_SEED runs one seed; YUCCASTAIR_SEEDS sets how many are run.

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <stdexcept>
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
using nlohmann::json;
using std::chrono::milliseconds;
using stream::Task;
namespace asio = stream::asio;
namespace http = stream::http;

constexpr int kRelays = 3;
constexpr int kCallersOfRelay = 4;
// Each kind of step comes this often, in an order of the seed.
constexpr int kRounds = 2;
// Conditions that must come about, on a machine as busy as may be.
constexpr auto kLimit = 30s;
constexpr auto kCallPause = 25ms;
// A target in a zone out of service that is sent nothing for this long while
// callers go on is left out.
constexpr auto kQuiet = 500ms;

/// Something that must never happen.
class Violation : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

void Require(bool holds, const std::string& message) {
  if (!holds)
    throw Violation(message);
}

struct Request {
  std::string id;
  std::string path;
  bool idempotent = true;
  Answer answer;
};

class Soak : private SystemClient {
 public:
  explicit Soak(std::uint64_t seed)
      : random_(seed), layout_(SoakLayout::kSoakPorts, seed) {
    for (int i = 0; i < SoakLayout::kControls; ++i)
      controls_.push_back(
          std::make_unique<Process>("control", layout_.ControlSettings(i)));
    for (int i = 0; i < kRelays; ++i) {
      targets_.push_back(ServingTarget());
      relays_.push_back(std::make_unique<Process>(
          "relay", layout_.RelaySettings(i, targets_.back()->address())));
    }
  }

  ~Soak() {
    // What runs in the context refers to this object.
    context().stop();
  }

  void Run() {
    Change();
    for (int i = 0; i < kRelays; ++i)
      asio::co_spawn(context(),
                     Announce("i-" + std::to_string(i),
                              targets_[static_cast<std::size_t>(i)]->address(),
                              layout_.TargetCalls(i), finished_),
                     asio::detached);
    AwaitServing();
    for (int i = 0; i < kRelays * kCallersOfRelay; ++i)
      asio::co_spawn(context(), Call(i % kRelays), asio::detached);
    for (const Step step : Steps()) {
      Take(step);
      RunFor(milliseconds(Below(600)));
    }
    Settle();
    Check();
    Stop();
  }

 private:
  enum class Step {
    kChange,
    kEvacuate,
    kRestartRelay,
    kReload,
    kKillControl,
    kFreezeControl,
    kChangeAndKillControl,
  };

  std::vector<Step> Steps() {
    std::vector<Step> steps;
    for (int i = 0; i < kRounds; ++i)
      steps.insert(steps.end(),
                   {Step::kChange, Step::kEvacuate, Step::kRestartRelay,
                    Step::kReload, Step::kKillControl, Step::kFreezeControl,
                    Step::kChangeAndKillControl});
    std::shuffle(steps.begin(), steps.end(), random_);
    return steps;
  }

  int Below(int bound) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(bound));
  }

  template <typename Condition>
  void Await(const std::string& what, Condition condition) {
    const auto end = support::SteadyClock().Now() + kLimit;
    while (!condition()) {
      Require(support::SteadyClock().Now() < end, what + " did not come about");
      RunFor(20ms);
    }
  }

  Task<void> Call(int relay) {
    stream::ConnectionPool pool(context(), {});
    while (!*finished_) {
      auto request = std::make_shared<Request>();
      request->id = "r" + std::to_string(requests_.size());
      request->idempotent = Below(2) == 0;
      request->path = request->idempotent ? "/safe/x" : "/unsafe/x";
      requests_.push_back(request);
      co_await Exchange(
          pool, layout_.Callers(relay),
          request->idempotent ? http::verb::get : http::verb::post,
          request->path, request->idempotent ? "" : "order", request->id, "",
          request->answer);
      if (request->answer.status == 200)
        ++served_;
      co_await Pause(kCallPause);
    }
  }

  void Take(Step step) {
    switch (step) {
      case Step::kChange:
        return Change();
      case Step::kEvacuate:
        return Evacuate();
      case Step::kRestartRelay:
        return RestartRelay();
      case Step::kReload:
        AnyOf(relays_).Signal(SIGHUP);
        AnyOf(controls_).Signal(SIGHUP);
        return;
      case Step::kKillControl:
        return KillControl();
      case Step::kFreezeControl:
        return FreezeControl();
      case Step::kChangeAndKillControl:
        Change();
        return KillControl();
    }
  }

  Process& AnyOf(std::vector<std::unique_ptr<Process>>& processes) {
    const int chosen = Below(static_cast<int>(processes.size()));
    return *processes[static_cast<std::size_t>(chosen)];
  }

  /// Sends a change to one control process after the other until it is
  /// acknowledged, and then again, as an operator whose answer was lost.
  void Change() {
    const std::string document =
        SoakLayout::Document(version_, version_ + 1).dump();
    const auto put = [&] {
      return Ask(layout_.Policy(Below(SoakLayout::kControls)), http::verb::post,
                 "/yuccastair/Config.Put", document)
          .status;
    };
    Await("an acknowledgement", [&] {
      const unsigned status = put();
      Require(status != 412, "a change on the newest version was refused");
      return status == 200;
    });
    ++version_;
    document_ = document;
    Await("a second acknowledgement", [&] {
      const unsigned status = put();
      Require(status != 412, "an accepted change was refused");
      return status == 200;
    });
    AwaitInForce();
  }

  /// Waits until each relay serves the newest route, and sees that none forgets
  /// a version that it has served.
  void AwaitInForce() {
    for (int i = 0; i < kRelays; ++i) {
      Await("version " + std::to_string(version_) + " at relay " +
                std::to_string(i),
            [&] { return KnowsMarker(i, version_); });
      for (int again = 0; again < 5; ++again)
        Require(KnowsMarker(i, version_), "a relay went back to an old policy");
    }
  }

  bool KnowsMarker(int relay, int version) {
    const Answer answer = Ask(layout_.Callers(relay), http::verb::get,
                              SoakLayout::Marker(version) + "x");
    // No answer says nothing about the policy.
    return answer.status != 0 && answer.status != 404 &&
           !(answer.status == 503 &&
             answer.body.find("policy") != std::string::npos);
  }

  void Evacuate() {
    const int zone = Below(kRelays);
    const std::string name = "z" + std::to_string(zone);
    const auto order = [&](const std::string& verb) {
      Await(verb + " of zone " + name, [&] {
        return Ask(layout_.Policy(Below(SoakLayout::kControls)),
                   http::verb::post,
                   "/yuccastair/Evacuations." + verb + "/" + name)
                   .status == 200;
      });
    };
    const auto& target = *targets_[static_cast<std::size_t>(zone)];
    order("Start");
    Await("a quiet target in " + name, [&] {
      const std::size_t before = target.requests().size();
      RunFor(kQuiet);
      return target.requests().size() == before;
    });
    const std::size_t quiet = target.requests().size();
    const std::size_t served = served_;
    RunFor(1s);
    Require(target.requests().size() == quiet,
            "a target in a zone out of service was sent a request");
    Await("service elsewhere", [&] { return served_ > served; });
    order("End");
    Await("requests in " + name + " again",
          [&] { return target.requests().size() > quiet; });
  }

  void RestartRelay() {
    Process& relay = AnyOf(relays_);
    relay.Signal(SIGTERM);
    if (Below(2) == 0)
      relay.Signal(SIGHUP);
    Await("the end of a relay", [&] { return relay.HasEnded(); });
    Require(relay.ended_well(), "a relay did not stop cleanly");
    relay.Start();
    AwaitServing();
  }

  void KillControl() {
    Process& control = AnyOf(controls_);
    control.Signal(SIGKILL);
    control.Wait();
    RunFor(milliseconds(Below(1500)));
    control.Start();
  }

  void FreezeControl() {
    Process& control = AnyOf(controls_);
    control.Signal(SIGSTOP);
    RunFor(milliseconds(500 + Below(2000)));
    // A change during the freeze, which the frozen process must not hide.
    if (Below(2) == 0)
      Change();
    control.Signal(SIGCONT);
  }

  void AwaitServing() {
    for (int i = 0; i < kRelays; ++i)
      Await("service at relay " + std::to_string(i), [&] {
        return Ask(layout_.Ready(i), http::verb::get, "/yuccastair/ready")
                       .status == 200 &&
               Ask(layout_.Callers(i), http::verb::get, "/safe/x").status ==
                   200;
      });
  }

  void Settle() {
    AwaitInForce();
    AwaitServing();
    *finished_ = true;
    RunFor(5s);
    Await("the newest document", [&] {
      const Answer read = Ask(layout_.Policy(Below(SoakLayout::kControls)),
                              http::verb::get, "/yuccastair/Config.Get");
      Require(read.status != 200 || read.body == document_,
              "an older document was read");
      return read.status == 200;
    });
  }

  void Check() const {
    const std::multiset<std::string> ran = RequestIds(targets_);
    for (const auto& request : requests_) {
      const Answer& answer = request->answer;
      const std::string what =
          request->id + " (" + std::to_string(answer.status) + ")";
      const std::size_t runs = ran.count(request->id);
      Require(request->idempotent || runs <= 1, what + " ran twice");
      if (answer.status == 503 || answer.status == 429)
        Require(runs == 0 || request->idempotent,
                what + " ran though it was refused");
      if (answer.status == 200)
        Require(answer.id == request->id && answer.body == "body",
                what + " got another answer");
      Require(answer.status != 404, what + " was denied");
      // Relays are only stopped as planned, so no request may be cut off.
      if (answer.status == 0 && answer.sent)
        Require(runs == 0, what + " was cut off");
    }
    Require(served_ > requests_.size() / 2, "most requests were not served");
  }

  void Stop() {
    for (const auto& relay : relays_)
      relay->Signal(SIGTERM);
    for (const auto& relay : relays_) {
      relay->Wait();
      Require(relay->ended_well(), "a relay did not stop cleanly");
    }
  }

  std::mt19937_64 random_;
  const SoakLayout layout_;
  std::vector<std::unique_ptr<relay::ScriptedTarget>> targets_;
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::unique_ptr<Process>> relays_;
  std::vector<std::shared_ptr<Request>> requests_;
  std::size_t served_ = 0;
  // The newest acknowledged version, and its document.
  int version_ = 0;
  std::string document_;
  std::shared_ptr<bool> finished_ = std::make_shared<bool>(false);
};

// Guards against faults that only a series of them brings about: requests that
// are cut off or run twice, changes that are lost or not in force.
TEST_CASE("no seed of overlapping restarts and changes breaks a promise") {
  constexpr std::uint64_t kDefaultSeeds = 2;
  for (const std::uint64_t seed : SeedsToRun(kDefaultSeeds)) {
    INFO("again: YUCCASTAIR_SEED=" << seed << " platform_soak_test");
    Soak soak(seed);
    REQUIRE_NOTHROW(soak.Run());
  }
}

}  // namespace
}  // namespace yuccastair
