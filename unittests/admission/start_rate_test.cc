// The limit on the rate at which calls start on a cold target.

#include "yuccastair/admission/start_rate_limiter.h"

#include <catch2/catch.hpp>

#include "yuccastair/admission/admission.h"

namespace yuccastair::admission {
namespace {

using namespace std::chrono_literals;

constexpr double kPerSecond = 33;

Options ColdOptionsOf(std::uint32_t limit) {
  Options options;
  options.limit = {limit, limit, limit};
  options.queue = {1000, 10s};
  options.cold.initial_limit = limit;
  options.cold.ramp = 1ms;
  options.cold.max_starts_per_second = kPerSecond;
  return options;
}

// Guards against a burst at the beginning of a cold start, which would crash
// the target, and against two bursts within one second.
TEST_CASE("a cold target starts no more than its rate in any second") {
  support::ManualClock clock;
  Admission admission(clock, ColdOptionsOf(200));
  Admission::Decisions decisions;
  admission.SetTarget(wire::TARGET_STATE_UP, "one", decisions);
  clock.Advance(10s);
  admission.SetColdUntil(clock.Now() + 5s);
  std::vector<support::TimePoint> starts;
  for (std::uint64_t id = 1; id <= 2000; ++id) {
    clock.Advance(2ms);
    Call call;
    call.id = id;
    call.deadline = clock.Now() + 60s;
    decisions.clear();
    admission.Arrive(call, decisions);
    admission.Tick(decisions);
    for (const Decision& decision : decisions) {
      if (decision.verdict != Verdict::kRun)
        continue;
      starts.push_back(clock.Now());
      admission.Finish(decision.id, ExchangeOutcome::kComplete, decisions);
      break;
    }
  }
  REQUIRE(starts.size() > 100);
  for (const support::TimePoint& start : starts) {
    const auto in_second =
        std::count_if(starts.begin(), starts.end(), [&](const auto& other) {
          return other >= start && other < start + 1s;
        });
    CHECK(static_cast<double>(in_second) <=
          kPerSecond * (1 + StartRateLimiter::kBurstShare) + 1);
  }
}

TEST_CASE("after the cold time only the limit bounds the starts") {
  support::ManualClock clock;
  Admission admission(clock, ColdOptionsOf(50));
  Admission::Decisions decisions;
  admission.SetTarget(wire::TARGET_STATE_UP, "one", decisions);
  admission.SetColdUntil(clock.Now() + 1s);
  clock.Advance(1s);
  for (std::uint64_t id = 1; id <= 50; ++id) {
    Call call;
    call.id = id;
    call.deadline = clock.Now() + 60s;
    admission.Arrive(call, decisions);
  }
  CHECK(admission.running() == 50);
}

// Guards against calls that stay queued after their caller can no longer use a
// response.
TEST_CASE("a call leaves the queue at its own queue deadline") {
  support::ManualClock clock;
  Admission admission(clock, ColdOptionsOf(1));
  Admission::Decisions decisions;
  admission.SetTarget(wire::TARGET_STATE_UP, "one", decisions);
  Call call;
  call.id = 1;
  call.deadline = clock.Now() + 60s;
  admission.Arrive(call, decisions);
  call.id = 2;
  call.queue_until = clock.Now() + 30ms;
  admission.Arrive(call, decisions);
  decisions.clear();
  clock.Advance(30ms);
  admission.Tick(decisions);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].id == 2);
  CHECK(decisions[0].reason == Reason::kQueueTimeout);
}

}  // namespace
}  // namespace yuccastair::admission
