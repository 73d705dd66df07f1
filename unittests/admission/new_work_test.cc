// Shares of callers' requests and of calls of other targets at one target.

#include <catch2/catch.hpp>
#include <deque>
#include <map>

#include "yuccastair/admission/admission.h"

namespace yuccastair::admission {
namespace {

using namespace std::chrono_literals;

struct ServedCounts {
  int callers = 0;
  int calls = 0;
};

/// Simulates 10 s of a target with 20 slots and a service time of 40 ms (500
/// calls per second). Callers send 50 requests per second, and other targets
/// 600 calls per second.
ServedCounts Simulate(double new_work_share) {
  support::ManualClock clock;
  Options options;
  options.limit = {20, 20, 20};
  options.queue = {200, 10s};
  options.new_work_share = new_work_share;
  Admission admission(clock, options);
  Admission::Decisions decisions;
  admission.SetTarget(wire::TARGET_STATE_UP, "one", decisions);
  std::multimap<support::TimePoint, std::uint64_t> ends;
  ServedCounts served;
  std::uint64_t id = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    clock.Advance(1ms);
    decisions.clear();
    while (!ends.empty() && ends.begin()->first <= clock.Now()) {
      const std::uint64_t ended = ends.begin()->second;
      ends.erase(ends.begin());
      admission.Finish(ended, ExchangeOutcome::kComplete, decisions);
    }
    // Even ids are callers' requests.
    const auto arrive = [&](bool caller) {
      Call call;
      call.id = ++id * 2 + (caller ? 0 : 1);
      call.importance =
          caller ? wire::IMPORTANCE_HIGH : wire::IMPORTANCE_CRITICAL;
      call.depth = caller ? 1 : 2;
      call.deadline = clock.Now() + 600ms;
      call.queue_until = clock.Now() + 300ms;
      admission.Arrive(call, decisions);
    };
    if (ms % 20 == 0)
      arrive(true);
    if (ms % 5 < 3)
      arrive(false);
    admission.Tick(decisions);
    for (const Decision& decision : decisions) {
      if (decision.verdict != Verdict::kRun)
        continue;
      ++(decision.id % 2 == 0 ? served.callers : served.calls);
      ends.emplace(clock.Now() + 40ms, decision.id);
    }
  }
  return served;
}

// Guards against starved callers where other targets make more calls than the
// target can serve.
TEST_CASE("callers keep their share beside calls that fill the target") {
  const ServedCounts without = Simulate(0);
  const ServedCounts with = Simulate(0.15);
  CAPTURE(without.callers, with.callers, without.calls, with.calls);
  // Callers have sent 500 requests.
  CHECK(without.callers < 250);
  CHECK(with.callers >= 475);
  // The calls lose no more slots than the callers gain.
  CHECK(with.calls + with.callers >=
        (without.calls + without.callers) * 98 / 100);
}

}  // namespace
}  // namespace yuccastair::admission
