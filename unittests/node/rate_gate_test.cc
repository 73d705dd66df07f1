// Tests the rate limits of a node against a ledger over real sockets.

#include "rate_limiter.h"

#include <catch2/catch.hpp>

#include "yuccastair/rates/rate_ledger.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A control process that only grants leases.
class LedgerServer {
 public:
  explicit LedgerServer(const std::string& address)
      : ledger_(
            clock_,
            [](const std::string& organisation) {
              // No refill, so that the number of admitted requests is exact.
              return organisation == "limited"
                         ? std::optional(rates::RateLimit{0, 20})
                         : std::nullopt;
            },
            0,
            1),
        transport_({.listen = address, .curve = std::nullopt},
                   {.on_request =
                        [this](const wire::ReplyRoute& route,
                               const wire::Envelope& envelope) {
                          wire::Envelope reply;
                          reply.set_correlation(envelope.correlation());
                          *reply.mutable_rate_grant() =
                              ledger_.Handle(envelope.rate_request());
                          transport_.Reply(route, std::move(reply));
                        },
                    .on_answer = nullptr,
                    .on_undelivered = nullptr,
                    .on_tick = nullptr}) {}

 private:
  const support::SteadyClock clock_;
  rates::RateLedger ledger_;
  wire::Transport transport_;
};

class RateLimiterFixture {
 public:
  explicit RateLimiterFixture(const std::string& control)
      : leader_hint_({control}),
        transport_(
            {.listen = "", .curve = std::nullopt},
            {.on_request = nullptr,
             .on_answer =
                 [this](const std::string&, wire::Envelope envelope) {
                   const auto correlation = envelope.correlation();
                   pending_.Complete(correlation, std::move(envelope));
                 },
             .on_undelivered =
                 [this](const std::string&, const wire::Envelope& envelope) {
                   pending_.CompleteUndelivered(envelope.correlation());
                 },
             .on_tick = nullptr}),
        channel_(leader_hint_, transport_, pending_),
        limiter("n1", "i1", channel_) {}

  // Returns how many of the requests are admitted.
  int CountAdmitted(const std::string& organisation, int requests) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i) {
      if (!limiter.Admit(organisation,
                         support::SteadyClock().Now() + seconds(5)))
        ++admitted;
    }
    return admitted;
  }

 private:
  LeaderHint leader_hint_;
  wire::PendingCalls pending_;
  wire::Transport transport_;
  LeaderChannel channel_;

 public:
  RateLimiter limiter;
};

TEST_CASE("exactly the burst is admitted, and the rest is rejected") {
  LedgerServer server("127.0.0.1:28101");
  RateLimiterFixture fixture("127.0.0.1:28101");
  CHECK(fixture.CountAdmitted("limited", 60) == 20);
  const auto rejection = fixture.limiter.Admit(
      "limited", support::SteadyClock().Now() + seconds(5));
  REQUIRE(rejection);
  CHECK(rejection->outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(rejection->status() == 429);
  CHECK(rejection->step() == "rate");
  CHECK(rejection->retry_after_ms() > 0);
}

TEST_CASE("open routes and organisations without a rate are not limited") {
  LedgerServer server("127.0.0.1:28102");
  RateLimiterFixture fixture("127.0.0.1:28102");
  CHECK(fixture.CountAdmitted("", 100) == 100);
  // The first requests may be rejected before the connection is established.
  CHECK(fixture.CountAdmitted("free", 200) > 100);
}

TEST_CASE("without a leader nothing is admitted for an organisation") {
  RateLimiterFixture fixture("127.0.0.1:28103");
  CHECK(fixture.CountAdmitted("limited", 3) == 0);
  CHECK(fixture.CountAdmitted("", 3) == 3);
}

}  // namespace
}  // namespace yuccastair::node
