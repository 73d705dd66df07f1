// Rate grants to organisations across changes of the leader.

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "fake_log.h"
#include "rate_service.h"
#include "yuccastair/rates/ledger_record.h"
#include "yuccastair/state/table_dispatcher.h"

namespace yuccastair::control {
namespace {

using std::chrono::milliseconds;

constexpr double kRate = 100;
constexpr double kBurst = 100;

/// Changes the leader of one log while nodes request and spend as many tokens
/// as they are granted.
class LeaderChangeFixture {
 public:
  LeaderChangeFixture() { tables_.Add(wire::TABLE_RATES, record_); }

  /// Ends the leadership and makes another leader take over.
  void ChangeLeader() {
    log_.is_leader = false;
    service_.Tick();
    log_.is_leader = true;
    service_.Tick();
  }

  /// Advances the clock by \p time, in which new nodes spend all tokens that
  /// they are granted. Returns the number of granted tokens.
  std::uint64_t SpendTokensFor(milliseconds time) {
    constexpr milliseconds kStep{20};
    std::uint64_t granted = 0;
    for (auto elapsed = milliseconds(0); elapsed < time; elapsed += kStep) {
      clock_.Advance(kStep);
      granted += RequestAndSpendTokens();
    }
    return granted;
  }

 private:
  std::uint64_t RequestAndSpendTokens() {
    wire::RateRequest request;
    request.set_node_id("n" + std::to_string(++request_count_));
    request.set_incarnation("i");
    request.set_sequence(1);
    wire::LeaseReport* report = request.add_reports();
    report->set_organisation("acme");
    report->set_lease(1);
    report->set_need(1000);
    const wire::RateGrant grant = service_.Handle(request);
    const std::uint64_t granted = grant.grants(0).granted();
    request.set_sequence(2);
    report->set_epoch(grant.epoch());
    report->set_spent(granted);
    report->set_need(0);
    service_.Handle(request);
    return granted;
  }

  int request_count_ = 0;
  support::ManualClock clock_;
  rates::LedgerRecord record_;
  state::TableDispatcher tables_;
  FakeLog log_{tables_};
  RateService service_{log_, clock_, [](const std::string&) {
                         return std::optional(rates::RateLimit{kRate, kBurst});
                       }};
};

// Guards against an outage of every organisation for the duration of a lease
// after two leaders failed in succession.
TEST_CASE("organisations keep their rate across successive leader changes") {
  const int leader_count = GENERATE(1, 2, 3);
  LeaderChangeFixture fixture;
  fixture.SpendTokensFor(milliseconds(5000));
  for (int i = 0; i < leader_count; ++i) {
    fixture.ChangeLeader();
    const std::uint64_t granted = fixture.SpendTokensFor(milliseconds(1000));
    CAPTURE(leader_count, i);
    CHECK(granted >= 0.95 * kRate);
    CHECK(granted <= 1.05 * kRate);
  }
}

}  // namespace
}  // namespace yuccastair::control
