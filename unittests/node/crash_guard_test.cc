// Tests the crash guard against a fingerprint table over real sockets.

#include "crash_guard.h"

#include <catch2/catch.hpp>
#include <mutex>

#include "call_reply.h"
#include "process_probe.h"
#include "yuccastair/claims/fingerprint_table.h"

namespace yuccastair::node {
namespace {

using std::chrono::seconds;

class CrashServer {
 public:
  explicit CrashServer(const std::string& address)
      : transport_({.listen = address, .curve = std::nullopt},
                   {.on_request =
                        [this](const wire::ReplyRoute& route,
                               const wire::Envelope& envelope) {
                          Handle(route, envelope);
                        },
                    .on_answer = nullptr,
                    .on_undelivered = nullptr,
                    .on_tick = nullptr}) {}

  void SyncTo(CrashGuard& guard) {
    std::lock_guard lock(mutex_);
    wire::FingerprintUpdate update;
    table_.FillUpdate(guard.version(), update);
    guard.Apply(update);
  }

 private:
  void Handle(const wire::ReplyRoute& route, const wire::Envelope& envelope) {
    std::lock_guard lock(mutex_);
    wire::CrashCommand command;
    *command.add_operations() = envelope.crash_report().operation();
    wire::CrashResults results;
    results.ParseFromString(table_.Apply(1, command.SerializeAsString()));
    wire::Envelope answer;
    answer.set_correlation(envelope.correlation());
    answer.mutable_crash_report_reply()->set_status(results.statuses(0));
    transport_.Reply(route, std::move(answer));
  }

  std::mutex mutex_;
  claims::FingerprintTable table_;
  wire::Transport transport_;
};

// The crash guards of two nodes with one control process.
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
        first(channel_),
        second(channel_) {}

  static CrashGuard::Sending Begin(CrashGuard& guard, const std::string& body) {
    wire::CallRequest call;
    call.set_organisation("acme");
    call.set_route("preview");
    call.set_body(body);
    return guard.Begin(call, support::SteadyClock().Now() + seconds(5));
  }

  static wire::CallReply CrashOf(const std::string& target) {
    wire::CallReply reply = Unknown("target", "connection closed");
    reply.set_crashed_target(target);
    return reply;
  }

  CrashServer server;

 private:
  LeaderHint hint_;
  wire::PendingCalls pending_;
  wire::Transport transport_;
  LeaderChannel channel_;

 public:
  CrashGuard first;
  CrashGuard second;
};

TEST_CASE("a request that crashed two targets runs on no third one") {
  Fixture fixture("127.0.0.1:28121");
  const auto sent = Fixture::Begin(fixture.first, "bad");
  REQUIRE(!sent.refusal);
  CHECK(sent.permit.empty());
  fixture.first.Finish(sent, Fixture::CrashOf("t1"));
  fixture.server.SyncTo(fixture.second);
  // One node gets the permit, the other one does not.
  const auto again = Fixture::Begin(fixture.second, "bad");
  REQUIRE(!again.refusal);
  CHECK(!again.permit.empty());
  const auto refused = Fixture::Begin(fixture.first, "bad");
  REQUIRE(refused.refusal);
  CHECK(refused.refusal->outcome() == wire::OUTCOME_NOT_RUN);
  fixture.second.Finish(again, Fixture::CrashOf("t2"));
  fixture.server.SyncTo(fixture.first);
  fixture.server.SyncTo(fixture.second);
  CHECK(Fixture::Begin(fixture.first, "bad").refusal);
  CHECK(Fixture::Begin(fixture.second, "bad").refusal);
  CHECK(!Fixture::Begin(fixture.first, "good").refusal);
}

TEST_CASE("a permit is given back after a response, not if it is unknown") {
  Fixture fixture("127.0.0.1:28122");
  fixture.first.Finish(Fixture::Begin(fixture.first, "bad"),
                       Fixture::CrashOf("t1"));
  const auto tried = Fixture::Begin(fixture.first, "bad");
  REQUIRE(!tried.refusal);
  wire::CallReply ok;
  ok.set_outcome(wire::OUTCOME_OK);
  fixture.first.Finish(tried, ok);
  const auto next = Fixture::Begin(fixture.first, "bad");
  REQUIRE(!next.refusal);
  fixture.first.Finish(next, Unknown("deadline", "no answer"));
  CHECK(Fixture::Begin(fixture.first, "bad").refusal);
}

TEST_CASE("a list that is older than the current one lifts no block") {
  Fixture fixture("127.0.0.1:28123");
  wire::FingerprintUpdate update;
  update.set_version(5);
  update.add_blocked(Fixture::Begin(fixture.first, "bad").fingerprint);
  fixture.first.Apply(update);
  wire::FingerprintUpdate older;
  older.set_version(4);
  older.set_full(true);
  fixture.first.Apply(older);
  CHECK(Fixture::Begin(fixture.first, "bad").refusal);
}

TEST_CASE("a port without a listener counts as a stopped process") {
  CHECK(IsProcessGone({"127.0.0.1", 28999}));
  Fixture fixture("127.0.0.1:28124");
  CHECK(!IsProcessGone({"127.0.0.1", 28124}));
  CHECK(!IsProcessGone({"not an address", 1}));
}

}  // namespace
}  // namespace yuccastair::node
