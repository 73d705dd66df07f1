// Waiting for tokens: who waits, who is refused at once, who is served.

#include "rate_guard.h"

#include <catch2/catch.hpp>
#include <vector>

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;

/// A guard whose requests to the leader are answered by the test.
class GuardFixture {
 protected:
  /// Starts \p count requests of "org"; their answers come into taken_.
  void Ask(int count) {
    for (int i = 0; i < count; ++i) {
      stream::asio::co_spawn(
          context_,
          [this]() -> stream::Task<void> {
            const bool taken = co_await guard_.Take("org");
            taken_.push_back(taken);
          },
          stream::asio::detached);
    }
    context_.restart();
    context_.poll();
  }

  /// Answers the latest request with \p tokens in all, and says when more come.
  void Grant(std::uint64_t tokens,
             std::uint32_t retry_after_ms,
             bool withheld = false) {
    REQUIRE_FALSE(sent_.empty());
    const wire::RateRequest& request = sent_.back();
    wire::RateGrant grant;
    grant.set_epoch(7);
    grant.set_sequence(request.sequence());
    grant.set_incarnation(request.incarnation());
    grant.set_ttl_ms(3000);
    wire::LeaseGrant* lease = grant.add_grants();
    lease->set_organisation("org");
    lease->set_lease(request.reports(0).lease());
    lease->set_granted(tokens);
    lease->set_retry_after_ms(retry_after_ms);
    lease->set_withheld(withheld);
    guard_.Apply(grant);
    context_.restart();
    context_.poll();
  }

  int Count(bool taken) const {
    return static_cast<int>(std::count(taken_.begin(), taken_.end(), taken));
  }

  stream::asio::io_context context_;
  support::SteadyClock clock_;
  std::vector<wire::RateRequest> sent_;
  std::vector<bool> taken_;
  RateGuard guard_{
      context_,
      clock_,
      clock_,
      "node",
      "incarnation",
      [this](const wire::RateRequest& request) { sent_.push_back(request); }};
};

// Guards against refusals within the rate: the first requests at a relay come
// before it holds a lease.
TEST_CASE_METHOD(GuardFixture, "requests wait for the first lease") {
  Ask(5);
  CHECK(taken_.empty());
  REQUIRE(sent_.size() >= 1);
  Grant(5, 0);
  CHECK(Count(true) == 5);
}

// Guards against tokens that are handed out twice, and against refusals of
// requests for which there may be a token with the next grant.
TEST_CASE_METHOD(GuardFixture, "a grant serves as many as it has tokens for") {
  Ask(5);
  Grant(2, 0);
  CHECK(Count(true) == 2);
  CHECK(Count(false) == 0);
}

// Guards against requests over the rate that are held for tokens that cannot
// come in time.
TEST_CASE_METHOD(GuardFixture,
                 "over the rate most are refused without a wait") {
  Ask(2);
  Grant(2, 500);
  REQUIRE(Count(true) == 2);
  Ask(20);
  CHECK(Count(false) >= 18);
}

// Guards against callers that are told that they are over their rate while the
// leader is away or has just changed.
TEST_CASE_METHOD(GuardFixture,
                 "a refusal names what the token is missing for") {
  Ask(1);
  CHECK(guard_.ShortageOf("org") == rates::Shortage::kNoLeader);
  SECTION("the new leader holds tokens back") {
    Grant(0, 500, true);
    CHECK(guard_.ShortageOf("org") == rates::Shortage::kLeaderChange);
  }
  SECTION("the organisation has used up its rate") {
    Grant(0, 500);
    CHECK(guard_.ShortageOf("org") == rates::Shortage::kRateExceeded);
  }
}

}  // namespace
}  // namespace yuccastair::relay
