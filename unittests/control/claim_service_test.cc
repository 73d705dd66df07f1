// The claim service batches requests and replies to them after the commit.

#include "claim_service.h"

#include <catch2/catch.hpp>

#include "fake_log.h"
#include "yuccastair/state/table_dispatcher.h"

namespace yuccastair::control {
namespace {

struct Fixture {
  Fixture() : log(tables), service(log, table, clock) {
    tables.Add(wire::TABLE_CLAIMS, table);
  }

  void Claim(const std::string& key, const std::string& attempt) {
    wire::ClaimRequest request;
    wire::ClaimOperation* operation = request.add_operations();
    operation->set_action(wire::CLAIM_ACTION_CLAIM);
    operation->set_key(key);
    operation->set_attempt_id(attempt);
    service.Handle(request, [this](const wire::ClaimReply& reply) {
      replies.push_back(reply);
    });
  }

  support::ManualClock clock;
  claims::ClaimTable table;
  state::TableDispatcher tables;
  FakeLog log;
  ClaimService service;
  std::vector<wire::ClaimReply> replies;
};

TEST_CASE("a claim is replied to only after its commit") {
  Fixture fixture;
  fixture.log.commit_immediately = false;
  fixture.Claim("k", "a");
  CHECK(fixture.replies.empty());
  fixture.log.CommitAll();
  REQUIRE(fixture.replies.size() == 1);
  CHECK(fixture.replies[0].results(0).status() == wire::CLAIM_STATUS_GRANTED);
}

TEST_CASE("claims that arrive during a commit share the next command") {
  Fixture fixture;
  fixture.log.commit_immediately = false;
  for (int i = 0; i < 100; ++i)
    fixture.Claim("k" + std::to_string(i % 50), "a" + std::to_string(i));
  CHECK(fixture.log.pending.size() == 1);
  fixture.log.CommitAll();
  REQUIRE(fixture.replies.size() == 100);
  int granted = 0;
  for (const wire::ClaimReply& reply : fixture.replies)
    granted += reply.results(0).status() == wire::CLAIM_STATUS_GRANTED ? 1 : 0;
  CHECK(granted == 50);
}

TEST_CASE("a claim whose commit is uncertain can be retried") {
  Fixture fixture;
  fixture.log.commit_immediately = false;
  fixture.Claim("k", "a");
  fixture.log.FinishAllUncertain(true);
  REQUIRE(fixture.replies.size() == 1);
  CHECK(fixture.replies[0].results_size() == 0);
  fixture.log.commit_immediately = true;
  fixture.Claim("k", "a");
  CHECK(fixture.replies[1].results(0).status() == wire::CLAIM_STATUS_GRANTED);
  fixture.Claim("k", "b");
  CHECK(fixture.replies[2].results(0).status() ==
        wire::CLAIM_STATUS_IN_PROGRESS);
}

TEST_CASE("a process that is not the leader replies without a result") {
  Fixture fixture;
  fixture.log.is_leader = false;
  fixture.Claim("k", "a");
  REQUIRE(fixture.replies.size() == 1);
  CHECK(fixture.replies[0].results_size() == 0);
  CHECK(fixture.replies[0].leader_address() == "127.0.0.1:1");
}

TEST_CASE("the time of commands does not go back after a change of leader") {
  Fixture fixture;
  fixture.Claim("k1", "a");
  fixture.clock.Advance(std::chrono::milliseconds(500));
  fixture.Claim("k2", "b");
  CHECK(fixture.table.time_ms() == 500);
  fixture.log.is_leader = false;
  fixture.service.Tick();
  fixture.clock.Advance(std::chrono::milliseconds(9000));
  fixture.log.is_leader = true;
  fixture.Claim("k3", "c");
  CHECK(fixture.table.time_ms() == 500);
}

}  // namespace
}  // namespace yuccastair::control
