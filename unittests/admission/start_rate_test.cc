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

// Guards against calls that wait in vain at a cold target while other targets
// of the service have free slots.
TEST_CASE(
    "a call that a cold target cannot start in time is rejected at once") {
  support::ManualClock clock;
  Admission admission(clock, ColdOptionsOf(200));
  Admission::Decisions decisions;
  admission.SetTarget(wire::TARGET_STATE_UP, "one", decisions);
  admission.SetColdUntil(clock.Now() + 5s);
  Call call;
  call.deadline = clock.Now() + 60s;
  call.queue_until = clock.Now() + 110ms;
  // At 33 starts per second three calls start within 100 ms.
  std::vector<Reason> reasons;
  for (call.id = 1; call.id <= 5; ++call.id) {
    decisions.clear();
    admission.Arrive(call, decisions);
    REQUIRE(decisions.size() == 1);
    reasons.push_back(decisions[0].reason);
  }
  CHECK(reasons == std::vector<Reason>{
                       Reason::kQueued, Reason::kQueued, Reason::kQueued,
                       Reason::kStartRateExceeded, Reason::kStartRateExceeded});
  decisions.clear();
  for (int i = 0; i < 10; ++i) {
    clock.Advance(10ms);
    admission.Tick(decisions);
  }
  CHECK(admission.running() == 3);
  CHECK(admission.queued() == 0);
}

TEST_CASE("a more important call displaces another at a cold target") {
  support::ManualClock clock;
  Admission admission(clock, ColdOptionsOf(200));
  Admission::Decisions decisions;
  admission.SetTarget(wire::TARGET_STATE_UP, "one", decisions);
  admission.SetColdUntil(clock.Now() + 5s);
  Call call;
  call.id = 1;
  call.importance = wire::IMPORTANCE_LOW;
  call.deadline = clock.Now() + 60s;
  call.queue_until = clock.Now() + 50ms;
  admission.Arrive(call, decisions);
  call.id = 2;
  call.importance = wire::IMPORTANCE_CRITICAL;
  decisions.clear();
  admission.Arrive(call, decisions);
  REQUIRE(decisions.size() == 2);
  CHECK(decisions[0].id == 1);
  CHECK(decisions[0].reason == Reason::kDisplaced);
  CHECK(decisions[1].id == 2);
  CHECK(decisions[1].verdict == Verdict::kWait);
}

TEST_CASE("a call that can wait until the cold time is over is queued") {
  support::ManualClock clock;
  Admission admission(clock, ColdOptionsOf(200));
  Admission::Decisions decisions;
  admission.SetTarget(wire::TARGET_STATE_UP, "one", decisions);
  admission.SetColdUntil(clock.Now() + 50ms);
  Call call;
  call.deadline = clock.Now() + 60s;
  call.queue_until = clock.Now() + 100ms;
  for (call.id = 1; call.id <= 20; ++call.id)
    admission.Arrive(call, decisions);
  CHECK(admission.queued() == 20);
  clock.Advance(50ms);
  admission.Tick(decisions);
  CHECK(admission.running() == 20);
}

TEST_CASE(
    "a cold target reports the concurrency that its start rate sustains") {
  support::ManualClock clock;
  Admission admission(clock, ColdOptionsOf(200));
  Admission::Decisions decisions;
  admission.SetTarget(wire::TARGET_STATE_UP, "one", decisions);
  Call call;
  call.deadline = clock.Now() + 600s;
  for (call.id = 1; call.id <= 100; ++call.id) {
    admission.Arrive(call, decisions);
    clock.Advance(200ms);
    admission.Finish(call.id, ExchangeOutcome::kComplete, decisions);
  }
  CHECK(admission.Load().limit() == 200);
  admission.SetColdUntil(clock.Now() + 5s);
  CHECK(admission.Load().state() == wire::TARGET_STATE_COLD);
  CHECK(admission.Load().limit() == 6);
  clock.Advance(5s);
  CHECK(admission.Load().limit() == 200);
}

}  // namespace
}  // namespace yuccastair::admission
