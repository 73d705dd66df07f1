// Messages with inconsistent or random contents neither crash the ledger and
// the leases nor corrupt their counts.

#include <catch2/catch.hpp>
#include <random>

#include "yuccastair/rates/rate_ledger.h"
#include "yuccastair/rates/token_leases.h"

namespace yuccastair::rates {
namespace {

constexpr RateLimit kLimit{10, 100};

std::optional<RateLimit> LimitOf(const std::string&) {
  return kLimit;
}

wire::RateRequest RequestWith(std::uint64_t sequence,
                              std::uint64_t spent,
                              std::uint64_t returned) {
  wire::RateRequest request;
  request.set_node_id("n");
  request.set_incarnation("i");
  request.set_sequence(sequence);
  wire::LeaseReport* report = request.add_reports();
  report->set_organisation("acme");
  report->set_lease(1);
  report->set_need(10);
  report->set_spent(spent);
  report->set_returned(returned);
  return request;
}

TEST_CASE("totals above the granted tokens are capped") {
  support::ManualClock clock;
  RateLedger ledger(clock, LimitOf, 0, 1);
  ledger.Handle(RequestWith(1, 0, 0));
  const auto huge = ~std::uint64_t{0};
  ledger.Handle(RequestWith(2, huge, huge));
  CHECK(ledger.Outstanding("acme") <= 50);
  CHECK(ledger.Outstanding("acme") >= 0);
}

TEST_CASE("duplicate and reordered reports are not counted") {
  support::ManualClock clock;
  RateLedger ledger(clock, LimitOf, 0, 1);
  ledger.Handle(RequestWith(1, 0, 0));
  ledger.Handle(RequestWith(3, 6, 0));
  const double outstanding = ledger.Outstanding("acme");
  ledger.Handle(RequestWith(3, 6, 0));
  ledger.Handle(RequestWith(2, 4, 0));
  CHECK(ledger.Outstanding("acme") == outstanding);
}

TEST_CASE("random requests and grants never crash") {
  std::mt19937 random(1);
  const auto number = [&]() -> std::uint64_t {
    const std::uint64_t wide = (std::uint64_t{random()} << 32) | random();
    return random() % 3 == 0 ? wide : wide % 8;
  };
  support::ManualClock clock;
  RateLedger ledger(clock, LimitOf, 1, 1);
  TokenLeases leases(clock, "n", "i");
  for (int i = 0; i < 20000; ++i) {
    wire::RateRequest request = RequestWith(number(), number(), number());
    wire::LeaseReport* report = request.mutable_reports(0);
    report->set_lease(number());
    report->set_epoch(number() % 3);
    report->set_need(static_cast<std::uint32_t>(number()));
    report->set_extra(static_cast<std::uint32_t>(number()));
    for (std::uint64_t k = number() % 4; k > 0; --k)
      report->add_spend_age_ms(static_cast<std::uint32_t>(number()));
    report->add_spend_count(static_cast<std::uint32_t>(number()));
    wire::RateGrant grant = ledger.Handle(request);
    leases.AddWaiter("acme");
    leases.NextRequest();
    grant.set_sequence(number());
    grant.set_epoch(number());
    grant.mutable_grants(0)->set_granted(number());
    grant.mutable_grants(0)->set_spent_seen(number());
    leases.Apply(grant);
    leases.TryTake("acme");
    std::string bytes(random() % 64, '\0');
    for (char& byte : bytes)
      byte = static_cast<char>(random());
    wire::RateRequest parsed;
    if (parsed.ParseFromString(bytes))
      ledger.Handle(parsed);
    clock.Advance(std::chrono::milliseconds(random() % 50));
    REQUIRE(ledger.Outstanding("acme") >= 0);
    REQUIRE(ledger.Outstanding("acme") <= 100);
  }
}

}  // namespace
}  // namespace yuccastair::rates
