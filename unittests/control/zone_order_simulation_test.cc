// Orders for zones on their way from the log to relays, with lost and late
// messages, cut-off control processes and suspensions.

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fake_log.h"
#include "fleet_state.h"
#include "policy_request_service.h"

namespace yuccastair::control {
namespace {

using namespace std::chrono_literals;
using membership::ZoneOrders;
using membership::ZoneUse;
using std::chrono::milliseconds;

constexpr int kControls = 3;
constexpr int kRelays = 4;
constexpr int kSeeds = 50;
constexpr auto kStep = 10ms;
constexpr auto kSimulatedTime = 60s;
constexpr auto kSyncInterval = 400ms;
constexpr auto kMaxOrderInterval = 6000;

/// A control process that applies the log behind the others.
struct ControlProcess {
  explicit ControlProcess(const support::Clock& clock)
      : service(log, table, clock, [](const auto&...) {}) {}

  policy::PolicyTable table;
  FakeLog log{table};
  PolicyRequestService service;
  std::size_t applied = 0;
  support::TimePoint cut_until;
};

struct Delivery {
  support::TimePoint at;
  wire::SyncReply reply;
};

struct RelayProcess {
  explicit RelayProcess(const support::Clock& clock)
      : fleet(clock, clock, "local") {}

  relay::FleetState fleet;
  support::TimePoint next_sync;
  std::optional<Delivery> delivery;
};

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kControls; ++i)
      controls_.push_back(std::make_unique<ControlProcess>(clock_));
    for (int i = 0; i < kRelays; ++i)
      relays_.push_back(std::make_unique<RelayProcess>(clock_));
  }

  void Run() {
    const support::TimePoint end = clock_.Now() + kSimulatedTime;
    while (clock_.Now() < end) {
      clock_.Advance(kStep);
      Order();
      for (const auto& control : controls_)
        RunControl(*control);
      for (const auto& relay : relays_) {
        RunRelay(*relay);
        CheckUse(*relay);
      }
    }
  }

  int retiring_steps() const { return retiring_steps_; }

 private:
  bool Chance(int percent) {
    return static_cast<int>(random_() % 100) < percent;
  }
  milliseconds Below(int bound) {
    return milliseconds(random_() % static_cast<std::uint64_t>(bound));
  }

  /// Takes the zone out or brings it back.
  void Order() {
    if (clock_.Now() < next_order_)
      return;
    next_order_ = clock_.Now() + Below(kMaxOrderInterval);
    out_ = !out_;
    if (out_)
      accepted_at_ = clock_.Now();
    wire::PolicyRequest request;
    request.mutable_zone()->set_zone("z");
    request.mutable_zone()->set_out(out_);
    committed_.push_back(request.SerializeAsString());
  }

  void RunControl(ControlProcess& control) {
    if (clock_.Now() < control.cut_until)
      return;
    if (Chance(1) && Chance(10)) {
      control.cut_until = clock_.Now() + Below(5000);
      return;
    }
    // It has read the log up to a moment ago.
    if (Chance(70)) {
      for (; control.applied < committed_.size(); ++control.applied)
        control.table.Apply(control.applied, committed_[control.applied]);
      control.log.current_as_of = clock_.Now();
    }
    control.service.UpdateZones();
  }

  void RunRelay(RelayProcess& relay) {
    if (relay.delivery && clock_.Now() >= relay.delivery->at) {
      relay.fleet.Apply(relay.delivery->reply);
      relay.delivery.reset();
    }
    if (clock_.Now() >= relay.next_sync) {
      relay.next_sync = clock_.Now() + kSyncInterval;
      wire::SyncRequest request;
      relay.fleet.FillRequest(request);
      wire::SyncReply reply;
      controls_[random_() % kControls]->service.FillReply(request, reply);
      relay.delivery.reset();
      if (Chance(80))
        relay.delivery = {clock_.Now() + Below(400), reply};
    }
    relay.fleet.Tick();
  }

  /// No relay may use a zone for longer than it retires, whenever it learnt of
  /// the order.
  void CheckUse(const RelayProcess& relay) {
    if (relay.fleet.UseOfZone("z") != ZoneUse::kRetiring)
      return;
    ++retiring_steps_;
    REQUIRE(clock_.Now() - accepted_at_ < ZoneOrders::kRetirementTime);
  }

  std::mt19937_64 random_;
  support::ManualClock clock_;
  std::vector<std::unique_ptr<ControlProcess>> controls_;
  std::vector<std::unique_ptr<RelayProcess>> relays_;
  std::vector<std::string> committed_;
  support::TimePoint next_order_;
  // When the zone was last taken out.
  support::TimePoint accepted_at_;
  bool out_ = false;
  int retiring_steps_ = 0;
};

// Guards against relays that use a zone for too long because they, or the
// control process that they ask, learn of the order late.
TEST_CASE("no relay uses a retiring zone for longer than it retires") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    Simulation simulation(seed);
    simulation.Run();
    CHECK(simulation.retiring_steps() > 0);
  }
}

}  // namespace
}  // namespace yuccastair::control
