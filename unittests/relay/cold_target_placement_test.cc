// Tests where the calls of a zone go while its target of a service is cold.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "yuccastair/admission/admission.h"
#include "yuccastair/routing/router.h"

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 28;
constexpr double kColdStartsPerSecond = 12;
constexpr milliseconds kServiceTime{40};
constexpr milliseconds kQueueTime{75};
constexpr std::size_t kMaxOffers = 3;

/// Four targets in zones of their own. Callers in the zone of the first one,
/// which is cold, send calls through several routers, which offer a rejected
/// call to further targets.
class ColdZone {
 public:
  explicit ColdZone(int routers) {
    const std::vector<std::string> zones = {"a", "b", "c", "d"};
    std::vector<wire::Member> members;
    for (const std::string& zone : zones) {
      admission::Options options;
      options.limit = {kSlots, kSlots, kSlots};
      options.queue = {static_cast<std::size_t>(4) * kSlots, 10s};
      options.cold = {kSlots, 1ms, kColdStartsPerSecond};
      targets_[zone] = std::make_unique<admission::Admission>(clock_, options);
      targets_[zone]->SetTarget(wire::TARGET_STATE_UP, "1", decisions_);
      wire::Member& member = members.emplace_back();
      member.set_node_id(zone);
      member.set_incarnation("1");
      member.set_availability_zone(zone);
      member.set_state(wire::TARGET_STATE_UP);
      member.set_limit(kSlots);
    }
    members[0].set_state(wire::TARGET_STATE_COLD);
    targets_["a"]->SetColdUntil(clock_.Now() + 3s);
    members[0].set_limit(targets_["a"]->Load().limit());
    for (int i = 0; i < routers; ++i) {
      routing::Options options;
      options.local_zone_max_utilisation = 0.9;
      routers_.push_back(std::make_unique<routing::Router>(
          clock_, options, "a", [this](std::uint32_t bound) {
            return std::uniform_int_distribution<std::uint32_t>(
                0, bound - 1)(random_);
          }));
      routers_.back()->SetMembers(members);
    }
  }

  /// Sends calls at an even rate and returns how many were lost.
  int Run(int calls, milliseconds pause) {
    for (int i = 0; i < calls; ++i) {
      Call call;
      call.router =
          routers_[static_cast<std::size_t>(i) % routers_.size()].get();
      call.queue_until = clock_.Now() + kQueueTime;
      const std::uint64_t id = next_id_++;
      calls_[id] = call;
      Offer(id);
      for (milliseconds passed{0}; passed < pause; passed += 1ms)
        Step();
    }
    for (milliseconds passed{0}; passed < 1s; passed += 1ms)
      Step();
    return lost_;
  }

  int served_cold() const { return served_cold_; }

 private:
  struct Call {
    routing::Router* router = nullptr;
    support::TimePoint queue_until;
    routing::Choice choice;
    std::vector<std::string> tried;
    support::TimePoint ends_at = support::TimePoint::max();
  };

  void Offer(std::uint64_t id) {
    Call& call = calls_[id];
    const auto choice =
        call.tried.size() < kMaxOffers && clock_.Now() < call.queue_until
            ? call.router->Choose(true, call.tried)
            : std::nullopt;
    if (!choice) {
      ++lost_;
      calls_.erase(id);
      return;
    }
    call.choice = *choice;
    call.tried.push_back(choice->node_id);
    admission::Call arrival;
    arrival.id = id;
    arrival.route = "r";
    arrival.deadline = clock_.Now() + 700ms;
    arrival.queue_until = call.queue_until;
    admission::Admission::Decisions decisions;
    targets_[choice->node_id]->Arrive(arrival, decisions);
    Apply(decisions);
  }

  void Apply(const admission::Admission::Decisions& decisions) {
    for (const admission::Decision& decision : decisions) {
      const auto found = calls_.find(decision.id);
      if (found == calls_.end())
        continue;
      Call& call = found->second;
      if (decision.verdict == admission::Verdict::kRun)
        call.ends_at = clock_.Now() + kServiceTime;
      if (decision.verdict != admission::Verdict::kReject)
        continue;
      const wire::LoadReport load = targets_[call.choice.node_id]->Load();
      call.router->RecordOutcome(call.choice,
                                 routing::AttemptOutcome::kRejected, &load);
      Offer(decision.id);
    }
  }

  void Step() {
    clock_.Advance(1ms);
    std::vector<std::uint64_t> ended;
    for (const auto& [id, call] : calls_) {
      if (call.ends_at <= clock_.Now())
        ended.push_back(id);
    }
    for (const std::uint64_t id : ended) {
      const Call call = calls_[id];
      calls_.erase(id);
      served_cold_ += call.choice.node_id == "a" ? 1 : 0;
      admission::Admission::Decisions decisions;
      targets_[call.choice.node_id]->Finish(
          id, admission::ExchangeOutcome::kComplete, decisions);
      const wire::LoadReport load = targets_[call.choice.node_id]->Load();
      call.router->RecordOutcome(call.choice, routing::AttemptOutcome::kServed,
                                 &load);
      Apply(decisions);
    }
    for (const auto& [zone, target] : targets_) {
      admission::Admission::Decisions decisions;
      target->Tick(decisions);
      Apply(decisions);
    }
  }

  support::ManualClock clock_;
  std::mt19937 random_{7};
  admission::Admission::Decisions decisions_;
  std::map<std::string, std::unique_ptr<admission::Admission>> targets_;
  std::vector<std::unique_ptr<routing::Router>> routers_;
  std::map<std::uint64_t, Call> calls_;
  std::uint64_t next_id_ = 1;
  int lost_ = 0;
  int served_cold_ = 0;
};

// The other zones have 84 slots, and the calls need four of them.
TEST_CASE(
    "no call is lost at a cold target while other zones have free slots") {
  const int routers = GENERATE(1, 4, 20);
  ColdZone zone(routers);
  CAPTURE(routers);
  CHECK(zone.Run(250, 10ms) == 0);
  CHECK(zone.served_cold() <= 12 * 3 + 4);
}

}  // namespace
}  // namespace yuccastair::relay
