// The ledger starts and ends with the leadership, and no leader grants tokens
// before its mark is committed.

#include "rate_service.h"

#include <catch2/catch.hpp>

#include "fake_log.h"
#include "yuccastair/rates/ledger_record.h"
#include "yuccastair/state/table_dispatcher.h"

namespace yuccastair::control {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  Fixture()
      : log(tables), service(log, clock, [](const std::string&) {
          return std::optional(rates::RateLimit{10, 100});
        }) {
    tables.Add(wire::TABLE_RATES, record);
  }

  // Each request comes from a new node with a new lease.
  wire::RateGrant RequestTokens(std::uint32_t need) {
    wire::RateRequest request;
    request.set_node_id("n" + std::to_string(++request_count));
    request.set_incarnation("i");
    request.set_sequence(1);
    wire::LeaseReport* report = request.add_reports();
    report->set_organisation("acme");
    report->set_lease(1);
    report->set_need(need);
    return service.Handle(request);
  }

  int request_count = 0;
  support::ManualClock clock;
  rates::LedgerRecord record;
  state::TableDispatcher tables;
  FakeLog log;
  RateService service;
};

TEST_CASE("a first leader grants from a full bucket") {
  Fixture fixture;
  const wire::RateGrant grant = fixture.RequestTokens(50);
  REQUIRE(grant.grants_size() == 1);
  CHECK(grant.grants(0).granted() == 50);
}

TEST_CASE("nothing is granted before the mark of the ledger is committed") {
  Fixture fixture;
  fixture.log.commit_immediately = false;
  CHECK(fixture.RequestTokens(1).not_leader());
  fixture.log.CommitAll();
  CHECK(!fixture.RequestTokens(1).not_leader());
}

TEST_CASE("a process that is not the leader returns the leader's address") {
  Fixture fixture;
  fixture.log.is_leader = false;
  const wire::RateGrant grant = fixture.RequestTokens(1);
  CHECK(grant.not_leader());
  CHECK(grant.leader_address() == "127.0.0.1:1");
}

TEST_CASE("a leader that is elected again does not know its earlier grants") {
  Fixture fixture;
  REQUIRE(fixture.RequestTokens(50).grants(0).granted() == 50);
  fixture.clock.Advance(milliseconds(5000));
  // Marks the ledger as settled.
  fixture.service.Tick();
  fixture.log.is_leader = false;
  fixture.service.Tick();
  fixture.log.is_leader = true;
  CHECK(fixture.RequestTokens(50).grants(0).granted() == 0);
  fixture.clock.Advance(milliseconds(1000));
  CHECK(fixture.RequestTokens(50).grants(0).granted() == 10);
}

TEST_CASE("after unsettled ledgers only tokens accrued since are granted") {
  Fixture fixture;
  REQUIRE(fixture.RequestTokens(50).grants(0).granted() == 50);
  for (int i = 0; i < 2; ++i) {
    fixture.log.is_leader = false;
    fixture.service.Tick();
    fixture.log.is_leader = true;
    fixture.service.Tick();
    CHECK(fixture.RequestTokens(1).grants(0).granted() == 0);
    fixture.clock.Advance(milliseconds(1010));
  }
  CHECK(fixture.RequestTokens(50).grants(0).granted() == 10);
  CHECK(fixture.RequestTokens(50).grants(0).granted() == 0);
  // The first two ledgers may have left 75 tokens outstanding, so at most
  // 12 are available at a time.
  fixture.clock.Advance(milliseconds(1500));
  CHECK(fixture.RequestTokens(50).grants(0).granted() == 2);
}

// Guards against grants in excess of the rate: a ledger of an older version
// bounds its outstanding tokens differently.
TEST_CASE("after a ledger of an older version no tokens are granted at first") {
  Fixture fixture;
  wire::LedgerMark mark;
  mark.set_epoch(5);
  fixture.record.RestoreSnapshot(mark.SerializeAsString());
  fixture.service.Tick();
  fixture.clock.Advance(milliseconds(2900));
  CHECK(fixture.RequestTokens(1).grants(0).granted() == 0);
  fixture.clock.Advance(milliseconds(1100));
  CHECK(fixture.RequestTokens(1).grants(0).granted() == 1);
}

TEST_CASE("a mark committed after the leadership has ended starts no ledger") {
  Fixture fixture;
  fixture.log.commit_immediately = false;
  fixture.service.Tick();
  fixture.log.is_leader = false;
  fixture.service.Tick();
  fixture.log.CommitAll();
  CHECK(fixture.RequestTokens(1).not_leader());
}

TEST_CASE("a damaged mark is reported and changes nothing") {
  rates::LedgerRecord record;
  const std::string before = record.TakeSnapshot();
  CHECK_THROWS(record.RestoreSnapshot("\xff\xff\xff"));
  record.Apply(1, "\xff\xff\xff");
  CHECK(record.TakeSnapshot() == before);
}

}  // namespace
}  // namespace yuccastair::control
