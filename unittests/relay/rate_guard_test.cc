// Tests which requests wait for tokens, are rejected at once, or are served.

#include "rate_limiter.h"

#include <catch2/catch.hpp>
#include <vector>

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;

/// A guard whose requests to the leader are replied to by the test.
class RateLimiterFixture {
 protected:
  /// Starts \p count requests of "org"; their results are added to taken_.
  void Ask(int count) {
    for (int i = 0; i < count; ++i) {
      stream::asio::co_spawn(
          context_,
          [this]() -> stream::Task<void> {
            const bool taken = co_await limiter_.AcquireToken("org");
            taken_.push_back(taken);
          },
          stream::asio::detached);
    }
    context_.restart();
    context_.poll();
  }

  /// Replies to the latest request with a total of \p tokens, and with the time
  /// until more are available.
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
    limiter_.ApplyGrant(grant);
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
  RateLimiter limiter_{
      context_,
      clock_,
      clock_,
      "node",
      "incarnation",
      [this](const wire::RateRequest& request) { sent_.push_back(request); }};
};

// Guards against rejections within the rate: the first requests at a relay
// arrive before it holds a lease.
TEST_CASE_METHOD(RateLimiterFixture, "requests wait for the first lease") {
  Ask(5);
  CHECK(taken_.empty());
  REQUIRE(sent_.size() >= 1);
  Grant(5, 0);
  CHECK(Count(true) == 5);
}

// Guards against tokens that are granted twice, and against rejections of
// requests that may get a token from the next grant.
TEST_CASE_METHOD(RateLimiterFixture,
                 "a grant serves as many requests as it has tokens") {
  Ask(5);
  Grant(2, 0);
  CHECK(Count(true) == 2);
  CHECK(Count(false) == 0);
}

// Guards against requests over the rate that wait for tokens which cannot
// arrive in time.
TEST_CASE_METHOD(RateLimiterFixture,
                 "most requests over the rate are rejected without waiting") {
  Ask(2);
  Grant(2, 500);
  REQUIRE(Count(true) == 2);
  Ask(20);
  CHECK(Count(false) >= 18);
}

// Guards against callers that are told that they exceed their rate while there
// is no leader or it has just changed.
TEST_CASE_METHOD(RateLimiterFixture,
                 "a rejection states why there is no token") {
  Ask(1);
  CHECK(limiter_.CurrentShortage("org") == rates::Shortage::kNoLeader);
  SECTION("the new leader withholds tokens") {
    Grant(0, 500, true);
    CHECK(limiter_.CurrentShortage("org") == rates::Shortage::kLeaderChange);
  }
  SECTION("the organisation has used up its rate") {
    Grant(0, 500);
    CHECK(limiter_.CurrentShortage("org") == rates::Shortage::kRateExceeded);
  }
}

}  // namespace
}  // namespace yuccastair::relay
