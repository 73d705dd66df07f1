// Tests the claims of a node against a claim table over real sockets.

#include "claim_gate.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>

#include "call_reply.h"
#include "yuccastair/claims/claim_table.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

// A control process with a claim table. Each claim is applied, but its reply
// is dropped while `lose_claims` is set.
class ClaimServer {
 public:
  explicit ClaimServer(const std::string& address)
      : transport_({.listen = address, .curve = std::nullopt},
                   {.on_request =
                        [this](const wire::ReplyRoute& route,
                               const wire::Envelope& envelope) {
                          Handle(route, envelope);
                        },
                    .on_answer = nullptr,
                    .on_undelivered = nullptr,
                    .on_tick = nullptr}) {}

  std::atomic<bool> lose_claims = false;
  std::atomic<bool> silent = false;
  std::atomic<int> finished = 0;

 private:
  void Handle(const wire::ReplyRoute& route, const wire::Envelope& envelope) {
    if (silent)
      return;
    wire::ClaimCommand command;
    *command.mutable_operations() = envelope.claim_request().operations();
    wire::ClaimResults results;
    results.ParseFromString(table_.Apply(1, command.SerializeAsString()));
    bool lost = false;
    for (const auto& operation : command.operations()) {
      if (operation.action() == wire::CLAIM_ACTION_CLAIM)
        lost = lost || lose_claims;
      if (operation.action() == wire::CLAIM_ACTION_FINISH)
        ++finished;
    }
    if (lost)
      return;
    wire::Envelope answer;
    answer.set_correlation(envelope.correlation());
    *answer.mutable_claim_reply()->mutable_results() = results.results();
    transport_.Reply(route, std::move(answer));
  }

  claims::ClaimTable table_;
  wire::Transport transport_;
};

class Fixture {
 public:
  explicit Fixture(const std::string& address)
      : server(address),
        hint_({address}),
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
        channel_(hint_, transport_, pending_),
        gate(channel_) {}

  ClaimGate::Claim Begin(const std::string& key,
                         const std::string& body = "b",
                         milliseconds time = milliseconds(5000)) {
    wire::CallRequest call;
    call.set_organisation("acme");
    call.set_route("order");
    call.set_method("POST");
    call.set_body(body);
    return gate.Begin(call, key, support::SteadyClock().Now() + time);
  }

  static wire::CallReply Answer(const std::string& body) {
    wire::CallReply reply;
    reply.set_outcome(wire::OUTCOME_OK);
    reply.set_status(201);
    reply.set_body(body);
    return reply;
  }

  ClaimServer server;

 private:
  LeaderHint hint_;
  wire::PendingCalls pending_;
  wire::Transport transport_;
  LeaderChannel channel_;

 public:
  ClaimGate gate;
};

TEST_CASE("a resend gets the complete stored reply") {
  Fixture fixture("127.0.0.1:28111");
  const ClaimGate::Claim first = fixture.Begin("k1");
  REQUIRE(!first.reply);
  fixture.gate.Finish(first, Fixture::Answer("done"));
  const ClaimGate::Claim second = fixture.Begin("k1");
  REQUIRE(second.reply);
  CHECK(second.reply->outcome() == wire::OUTCOME_OK);
  CHECK(second.reply->status() == 201);
  CHECK(second.reply->body() == "done");
  const ClaimGate::Claim other = fixture.Begin("k1", "another body");
  REQUIRE(other.reply);
  CHECK(other.reply->outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(other.reply->status() == 409);
}

TEST_CASE("a request that did not run can be sent again") {
  Fixture fixture("127.0.0.1:28112");
  const ClaimGate::Claim first = fixture.Begin("k1");
  REQUIRE(!first.reply);
  fixture.gate.Finish(first, NotRun("routing", "no target"));
  CHECK(!fixture.Begin("k1").reply);
}

TEST_CASE("a resend of a request with unknown outcome gets unknown") {
  Fixture fixture("127.0.0.1:28113");
  const ClaimGate::Claim first = fixture.Begin("k1");
  REQUIRE(!first.reply);
  fixture.gate.Finish(first, Unknown("target", "broken"));
  const ClaimGate::Claim second = fixture.Begin("k1");
  REQUIRE(second.reply);
  CHECK(second.reply->outcome() == wire::OUTCOME_UNKNOWN);
}

TEST_CASE("a request that another attempt runs is not reported as not-run") {
  Fixture fixture("127.0.0.1:28114");
  const ClaimGate::Claim first = fixture.Begin("k1");
  REQUIRE(!first.reply);
  const ClaimGate::Claim second = fixture.Begin("k1", "b", milliseconds(400));
  REQUIRE(second.reply);
  CHECK(second.reply->outcome() == wire::OUTCOME_UNKNOWN);
  CHECK(second.reply->status() == 409);
}

TEST_CASE("a claim whose replies are lost is released before not-run") {
  Fixture fixture("127.0.0.1:28115");
  // Opens the connection.
  REQUIRE(!fixture.Begin("k0").reply);
  fixture.server.lose_claims = true;
  const ClaimGate::Claim first = fixture.Begin("k1", "b", milliseconds(800));
  REQUIRE(first.reply);
  CHECK(first.reply->outcome() == wire::OUTCOME_NOT_RUN);
  fixture.server.lose_claims = false;
  // The first claim took effect. Without its release this request would not
  // run.
  CHECK(!fixture.Begin("k1").reply);
}

TEST_CASE("without any reply the outcome is unknown") {
  Fixture fixture("127.0.0.1:28116");
  REQUIRE(!fixture.Begin("k0").reply);
  fixture.server.silent = true;
  const ClaimGate::Claim first = fixture.Begin("k1", "b", milliseconds(800));
  REQUIRE(first.reply);
  CHECK(first.reply->outcome() == wire::OUTCOME_UNKNOWN);
}

TEST_CASE("an overlong key is rejected") {
  Fixture fixture("127.0.0.1:28117");
  const ClaimGate::Claim claim = fixture.Begin(std::string(256, 'k'));
  REQUIRE(claim.reply);
  CHECK(claim.reply->outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(claim.reply->status() == 400);
}

}  // namespace
}  // namespace yuccastair::node
