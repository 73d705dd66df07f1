// Tests the claims of a node against a claim table over real sockets.

#include "claim_client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>

#include "call_reply.h"
#include "yuccastair/claims/claim_table.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

// A control process with a claim table. Each claim is applied, but its reply
// is dropped while `drop_claim_replies` is set.
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

  std::atomic<bool> drop_claim_replies = false;
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
    bool drop_reply = false;
    for (const auto& operation : command.operations()) {
      if (operation.action() == wire::CLAIM_ACTION_CLAIM)
        drop_reply = drop_reply || drop_claim_replies;
      if (operation.action() == wire::CLAIM_ACTION_FINISH)
        ++finished;
    }
    if (drop_reply)
      return;
    wire::Envelope reply;
    reply.set_correlation(envelope.correlation());
    *reply.mutable_claim_reply()->mutable_results() = results.results();
    transport_.Reply(route, std::move(reply));
  }

  claims::ClaimTable table_;
  wire::Transport transport_;
};

class ClaimFixture {
 public:
  explicit ClaimFixture(const std::string& address)
      : server(address),
        leader_hint_({address}),
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
        client(channel_) {}

  ClaimClient::Claim Begin(const std::string& key,
                           const std::string& body = "b",
                           milliseconds time = milliseconds(5000)) {
    wire::CallRequest call;
    call.set_organisation("acme");
    call.set_route("order");
    call.set_method("POST");
    call.set_body(body);
    return client.Begin(call, key, support::SteadyClock().Now() + time);
  }

  static wire::CallReply OkReply(const std::string& body) {
    wire::CallReply reply;
    reply.set_outcome(wire::OUTCOME_OK);
    reply.set_status(201);
    reply.set_body(body);
    return reply;
  }

  ClaimServer server;

 private:
  LeaderHint leader_hint_;
  wire::PendingCalls pending_;
  wire::Transport transport_;
  LeaderChannel channel_;

 public:
  ClaimClient client;
};

TEST_CASE("a resend gets the complete stored reply") {
  ClaimFixture fixture("127.0.0.1:28111");
  const ClaimClient::Claim first = fixture.Begin("k1");
  REQUIRE(!first.reply);
  fixture.client.Finish(first, ClaimFixture::OkReply("done"));
  const ClaimClient::Claim second = fixture.Begin("k1");
  REQUIRE(second.reply);
  CHECK(second.reply->outcome() == wire::OUTCOME_OK);
  CHECK(second.reply->status() == 201);
  CHECK(second.reply->body() == "done");
  const ClaimClient::Claim other = fixture.Begin("k1", "another body");
  REQUIRE(other.reply);
  CHECK(other.reply->outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(other.reply->status() == 409);
}

TEST_CASE("a request that did not run can be sent again") {
  ClaimFixture fixture("127.0.0.1:28112");
  const ClaimClient::Claim first = fixture.Begin("k1");
  REQUIRE(!first.reply);
  fixture.client.Finish(first, NotRunReply("routing", "no target"));
  CHECK(!fixture.Begin("k1").reply);
}

TEST_CASE("a resend of a request with unknown outcome gets unknown") {
  ClaimFixture fixture("127.0.0.1:28113");
  const ClaimClient::Claim first = fixture.Begin("k1");
  REQUIRE(!first.reply);
  fixture.client.Finish(first, UnknownReply("target", "broken"));
  const ClaimClient::Claim second = fixture.Begin("k1");
  REQUIRE(second.reply);
  CHECK(second.reply->outcome() == wire::OUTCOME_UNKNOWN);
}

TEST_CASE("a request that another attempt runs is not reported as not-run") {
  ClaimFixture fixture("127.0.0.1:28114");
  const ClaimClient::Claim first = fixture.Begin("k1");
  REQUIRE(!first.reply);
  const ClaimClient::Claim second = fixture.Begin("k1", "b", milliseconds(400));
  REQUIRE(second.reply);
  CHECK(second.reply->outcome() == wire::OUTCOME_UNKNOWN);
  CHECK(second.reply->status() == 409);
}

TEST_CASE("a claim whose replies are lost is released before not-run") {
  ClaimFixture fixture("127.0.0.1:28115");
  // Opens the connection.
  REQUIRE(!fixture.Begin("k0").reply);
  fixture.server.drop_claim_replies = true;
  const ClaimClient::Claim first = fixture.Begin("k1", "b", milliseconds(800));
  REQUIRE(first.reply);
  CHECK(first.reply->outcome() == wire::OUTCOME_NOT_RUN);
  fixture.server.drop_claim_replies = false;
  // The first claim took effect. Without its release this request would not
  // run.
  CHECK(!fixture.Begin("k1").reply);
}

TEST_CASE("without any reply the outcome is unknown") {
  ClaimFixture fixture("127.0.0.1:28116");
  REQUIRE(!fixture.Begin("k0").reply);
  fixture.server.silent = true;
  const ClaimClient::Claim first = fixture.Begin("k1", "b", milliseconds(800));
  REQUIRE(first.reply);
  CHECK(first.reply->outcome() == wire::OUTCOME_UNKNOWN);
}

TEST_CASE("an overlong key is rejected") {
  ClaimFixture fixture("127.0.0.1:28117");
  const ClaimClient::Claim claim = fixture.Begin(std::string(256, 'k'));
  REQUIRE(claim.reply);
  CHECK(claim.reply->outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(claim.reply->status() == 400);
}

}  // namespace
}  // namespace yuccastair::node
