// Tests the match of calls with running requests, and the retry budget.

#include "running_requests.h"

#include <catch2/catch.hpp>

#include "target_retry_budget.h"

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;

RunningRequests::RequestPtr Request(support::TimePoint deadline,
                                    wire::Importance importance,
                                    const std::string& id = "") {
  auto request = std::make_shared<RunningRequest>();
  request->id = id;
  request->deadline = deadline;
  request->importance = importance;
  return request;
}

// Guards against calls of unimportant requests that displace important ones.
TEST_CASE("a call belongs to the request with the nearest deadline") {
  const support::TimePoint base(1h);
  RunningRequests running;
  const auto low = Request(base, wire::IMPORTANCE_LOW);
  const auto high = Request(base + 10ms, wire::IMPORTANCE_HIGH);
  running.Add(low);
  running.Add(high);
  CHECK(running.FindParent("c", base - 2ms) == low);
  CHECK(running.FindParent("c", base + 1ms) == low);
  CHECK(running.FindParent("c", base + 8ms) == high);
  CHECK(running.FindParent("c", base + 20ms) == high);
  CHECK(running.FindParent("c", base + 60ms) == nullptr);
  running.Remove(high);
  CHECK(running.FindParent("c", base + 8ms) == low);
  running.Remove(low);
  CHECK(running.FindParent("c", base) == nullptr);
}

// Guards against failed calls of one request that are recorded for another one
// with the same deadline: two calls of one target often run on the same target.
TEST_CASE("an id that extends a running request's id identifies it") {
  const support::TimePoint base(1h);
  RunningRequests running;
  const auto first = Request(base, wire::IMPORTANCE_LOW, "a.1");
  const auto second = Request(base, wire::IMPORTANCE_HIGH, "a.2");
  running.Add(first);
  running.Add(second);
  CHECK(running.FindParent("a.1.x", base) == first);
  CHECK(running.FindParent("a.2.x", base + 3ms) == second);
  // For other ids the deadline decides.
  CHECK(running.FindParent("x", base + 1ms) != nullptr);
  CHECK(running.FindParent("x", base + 60ms) == nullptr);
  running.Remove(first);
  CHECK(running.FindParent("a.1.x", base) == second);
}

// Guards against more retries than a fifth of the requests, also if retried
// requests make calls.
TEST_CASE("retries stay below their share of the first attempts") {
  TargetRetryBudget budget;
  int repeats = 0;
  const int requests = 10000;
  for (int i = 0; i < requests; ++i) {
    budget.OnFirstAttempt();
    for (int attempt = 0; attempt < 2; ++attempt)
      repeats += budget.TakeRetry() ? 1 : 0;
    if (i % 20 == 0) {
      budget.OnCallOfRetry();
      ++repeats;
    }
  }
  CHECK(repeats <= requests * TargetRetryBudget::kRetryShare +
                       TargetRetryBudget::kMaxRetryBurst);
  CHECK(repeats >= requests * TargetRetryBudget::kRetryShare * 0.95);
}

}  // namespace
}  // namespace yuccastair::relay
