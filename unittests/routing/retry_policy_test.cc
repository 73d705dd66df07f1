// Retryable outcomes, attempt budgets and request fingerprints.

#include "yuccastair/routing/retry_policy.h"

#include <catch2/catch.hpp>
#include <functional>

#include "yuccastair/routing/fingerprint.h"

namespace yuccastair::routing {
namespace {

TEST_CASE("only safe outcomes may be retried") {
  struct Row {
    wire::Outcome outcome;
    bool idempotent;
    bool service_overloaded;
    bool may_retry;
  };
  const Row row = GENERATE(values<Row>({
      {wire::OUTCOME_OK, true, false, false},
      {wire::OUTCOME_NOT_RUN, false, false, true},
      {wire::OUTCOME_NOT_RUN, true, false, true},
      {wire::OUTCOME_NOT_RUN, true, true, false},
      {wire::OUTCOME_UNKNOWN, true, false, true},
      {wire::OUTCOME_UNKNOWN, false, false, false},
      {wire::OUTCOME_UNSPECIFIED, true, false, false},
  }));
  wire::CallReply reply;
  reply.set_outcome(row.outcome);
  reply.set_service_overloaded(row.service_overloaded);
  CHECK(IsRetryable(row.idempotent, reply) == row.may_retry);
}

// Guards against attempts that multiply with the depth of the call tree, when
// every attempt fails and each level retries as often as it may.
TEST_CASE("attempts are bounded over the whole call tree") {
  const std::uint32_t budget = GENERATE(0, 1, 5, 20);
  std::uint32_t extra = 0;
  const std::function<std::uint32_t(std::uint32_t, int)> fail =
      [&](std::uint32_t attempts, int depth) {
        AttemptBudget own(attempts);
        while (true) {
          const std::uint32_t delegated = own.Delegate();
          own.ReturnUnused(delegated,
                           depth < 6 ? fail(delegated, depth + 1) : delegated);
          if (!own.Spend())
            return own.remaining();
          ++extra;
        }
      };
  fail(budget, 1);
  CHECK(extra == budget);
}

TEST_CASE("no more attempts are returned than were delegated") {
  AttemptBudget budget(5);
  const std::uint32_t delegated = budget.Delegate();
  CHECK(delegated == 2);
  budget.ReturnUnused(delegated, 100);
  CHECK(budget.remaining() == 5);
}

TEST_CASE("first attempts refill the retry tokens") {
  RetryBudget share(0.25, 2);
  CHECK(share.TryTake());
  CHECK(share.TryTake());
  CHECK_FALSE(share.TryTake());
  for (int i = 0; i < 4; ++i)
    share.OnFirstAttempt();
  CHECK(share.TryTake());
  CHECK_FALSE(share.TryTake());
}

// Guards against unrepeatable requests that fail while others are retried.
TEST_CASE("retries of unrepeatable requests go first") {
  RetryBudget budget(0.1, 3);
  int high = 0;
  int normal = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    normal += budget.TryTake() ? 1 : 0;
    if (i % 4 == 0)
      high += budget.TryTake(RetryPriority::kHigh) ? 1 : 0;
  }
  CHECK(high > 90);
  CHECK(high + normal <= 103);
  // Without competition, none are left.
  for (int i = 0; i < 100; ++i)
    budget.OnFirstAttempt();
  for (int i = 0; i < 3; ++i)
    CHECK(budget.TryTake());
}

// Guards against equal fingerprints of different requests.
TEST_CASE("different requests have different fingerprints") {
  wire::CallRequest call;
  call.set_organisation("a");
  call.set_route("bc");
  call.set_path("/x");
  const std::string fingerprint = CrashFingerprint(call);
  CHECK(fingerprint.size() == 32);
  wire::CallRequest same = call;
  same.set_attempt_id("other");
  CHECK(CrashFingerprint(same) == fingerprint);
  wire::CallRequest shifted = call;
  shifted.set_organisation("ab");
  shifted.set_route("c");
  CHECK(CrashFingerprint(shifted) != fingerprint);
  wire::CallRequest other_path = call;
  other_path.set_path("/y");
  CHECK(CrashFingerprint(other_path) != fingerprint);
  CHECK(ResendFingerprint(other_path) != ResendFingerprint(call));
}

}  // namespace
}  // namespace yuccastair::routing
