// Cost of one admission decision and of one routing choice, on one thread.
//
// Prints the mean time in nanoseconds of the best of several rounds for each
// queue length and member count.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <limits>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "yuccastair/admission/admission.h"
#include "yuccastair/routing/fingerprint.h"
#include "yuccastair/routing/router.h"

namespace yuccastair {
namespace {

constexpr int kRounds = 5;
constexpr std::uint64_t kCallsInRound = 20000;
constexpr std::uint32_t kSlots = 100;
constexpr int kOrganisations = 8;

/// Returns the mean nanoseconds of \p step in the best round.
double BestMean(const std::function<void()>& step) {
  double best = std::numeric_limits<double>::max();
  for (int round = 0; round < kRounds; ++round) {
    const auto started = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < kCallsInRound; ++i)
      step();
    const std::chrono::duration<double, std::nano> taken =
        std::chrono::steady_clock::now() - started;
    best = std::min(best, taken.count() / kCallsInRound);
  }
  return best;
}

class AdmissionLoad {
 public:
  explicit AdmissionLoad(std::size_t queue) : admission_(clock_, With(queue)) {
    admission_.SetTarget(wire::TARGET_STATE_UP, "1", decisions_);
    for (std::size_t i = 0; i < kSlots + queue; ++i)
      Arrive();
  }

  /// One arrival at the present queue length.
  void Arrive() {
    decisions_.clear();
    const std::uint64_t id = next_id_++;
    admission::Call call;
    call.id = id;
    call.organisation = "org-" + std::to_string(id % kOrganisations);
    call.route = "route";
    call.importance = static_cast<wire::Importance>(id % 4);
    call.depth = 1 + static_cast<std::uint32_t>(id % 3);
    call.deadline = clock_.Now() + std::chrono::hours(1);
    admission_.Arrive(call, decisions_);
    Note();
  }

  /// One finished call, which lets a queued one start.
  void Finish() {
    decisions_.clear();
    const std::uint64_t id = running_.back();
    running_.pop_back();
    admission_.Finish(id, admission::ExchangeOutcome::kComplete, decisions_);
    Note();
  }

  void Tick() {
    decisions_.clear();
    admission_.Tick(decisions_);
  }

 private:
  static admission::Options With(std::size_t queue) {
    admission::Options options;
    options.limit = {.initial = kSlots, .min = kSlots, .max = kSlots};
    options.queue = {.max = queue, .timeout = std::chrono::hours(1)};
    return options;
  }

  void Note() {
    for (const admission::Decision& decision : decisions_) {
      if (decision.verdict == admission::Verdict::kRun)
        running_.push_back(decision.id);
    }
  }

  // The real clock, since reading it is part of the cost.
  support::SteadyClock clock_;
  admission::Admission admission_;
  admission::Admission::Decisions decisions_;
  std::vector<std::uint64_t> running_;
  std::uint64_t next_id_ = 1;
};

void MeasureAdmission(std::size_t queue) {
  AdmissionLoad load(queue);
  const double pair = BestMean([&] {
    load.Finish();
    load.Arrive();
  });
  const double rejected = BestMean([&] { load.Arrive(); });
  const double tick = BestMean([&] { load.Tick(); });
  std::printf(
      "admission queue %5zu: finish and arrival %7.0f ns, arrival at a full "
      "queue %7.0f ns, tick %7.0f ns\n",
      queue, pair, rejected, tick);
}

void MeasureRouting(int members) {
  std::mt19937 random(1);
  const support::SteadyClock clock;
  routing::Router router(clock, {}, "z0", [&](std::uint32_t bound) {
    return static_cast<std::uint32_t>(random() % bound);
  });
  std::vector<wire::Member> list;
  list.reserve(static_cast<std::size_t>(members));
  for (int i = 0; i < members; ++i) {
    wire::Member member;
    member.set_node_id("node-" + std::to_string(i));
    member.set_incarnation("1");
    member.set_address("127.0.0.1:" + std::to_string(20000 + i));
    member.set_availability_zone("z" + std::to_string(i % 3));
    member.set_state(wire::TARGET_STATE_UP);
    list.push_back(std::move(member));
  }
  const double take_over = BestMean([&] { router.SetMembers(list); });
  wire::LoadReport load;
  load.set_limit(kSlots);
  load.set_state(wire::TARGET_STATE_UP);
  const double choice = BestMean([&] {
    load.set_running(static_cast<std::uint32_t>(random() % kSlots));
    const auto chosen = router.Choose(true, {});
    router.RecordOutcome(*chosen, routing::AttemptOutcome::kServed, &load);
  });
  std::printf(
      "routing members %4d: choice and end %7.0f ns, membership %7.0f ns\n",
      members, choice, take_over);
}

void MeasureFingerprint(std::size_t body) {
  wire::CallRequest call;
  call.set_organisation("org");
  call.set_route("route");
  call.set_path("/path/of/a/call");
  call.set_body(std::string(body, 'x'));
  std::size_t total = 0;
  const double cost =
      BestMean([&] { total += routing::CrashFingerprint(call).size(); });
  std::printf("fingerprint body %6zu bytes: %7.0f ns (%zu)\n", body, cost,
              total);
}

}  // namespace
}  // namespace yuccastair

int main() {
  for (const std::size_t queue : {16, 128, 1024, 8192})
    yuccastair::MeasureAdmission(queue);
  for (const int members : {2, 6, 20, 100})
    yuccastair::MeasureRouting(members);
  for (const std::size_t body : {64, 4096, 262144})
    yuccastair::MeasureFingerprint(body);
  return 0;
}
