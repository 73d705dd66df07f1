// Tests that only one attempt of a request runs, that outcomes are kept for
// their retention and within the limits, and that late, duplicate or malformed
// commands have no effect.

#include "yuccastair/claims/claim_table.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

namespace yuccastair::claims {
namespace {

wire::ClaimOperation MakeOperation(wire::ClaimAction action,
                                   const std::string& key,
                                   const std::string& attempt,
                                   const std::string& content = "body") {
  wire::ClaimOperation operation;
  operation.set_action(action);
  operation.set_key(key);
  operation.set_attempt_id(attempt);
  if (action == wire::CLAIM_ACTION_CLAIM)
    operation.set_body_hash(content);
  if (action == wire::CLAIM_ACTION_FINISH)
    operation.set_answer(content);
  return operation;
}

wire::ClaimOperation MakeClaim(const std::string& key,
                               const std::string& attempt,
                               const std::string& body = "body") {
  return MakeOperation(wire::CLAIM_ACTION_CLAIM, key, attempt, body);
}
wire::ClaimOperation MakeFinish(const std::string& key,
                                const std::string& attempt,
                                const std::string& answer) {
  return MakeOperation(wire::CLAIM_ACTION_FINISH, key, attempt, answer);
}
wire::ClaimOperation MakeRelease(const std::string& key,
                                 const std::string& attempt) {
  return MakeOperation(wire::CLAIM_ACTION_RELEASE, key, attempt);
}

wire::ClaimResult Apply(ClaimTable& table,
                        const wire::ClaimOperation& operation,
                        std::uint64_t time_ms = 1) {
  wire::ClaimCommand command;
  command.set_time_ms(time_ms);
  *command.add_operations() = operation;
  wire::ClaimResults results;
  REQUIRE(results.ParseFromString(table.Apply(1, command.SerializeAsString())));
  REQUIRE(results.results_size() == 1);
  return results.results(0);
}

TEST_CASE("a second attempt does not run, and receives the first response") {
  ClaimTable table;
  CHECK(Apply(table, MakeClaim("k", "a")).status() ==
        wire::CLAIM_STATUS_GRANTED);
  // The relay retries its claim with a new leader.
  CHECK(Apply(table, MakeClaim("k", "a")).status() ==
        wire::CLAIM_STATUS_GRANTED);
  CHECK(Apply(table, MakeClaim("k", "b")).status() ==
        wire::CLAIM_STATUS_IN_PROGRESS);
  CHECK(Apply(table, MakeClaim("k", "b", "other")).status() ==
        wire::CLAIM_STATUS_OTHER_BODY);
  CHECK(Apply(table, MakeFinish("k", "b", "x")).status() ==
        wire::CLAIM_STATUS_REFUSED);
  CHECK(Apply(table, MakeFinish("k", "a", "first")).status() ==
        wire::CLAIM_STATUS_RECORDED);
  CHECK(Apply(table, MakeFinish("k", "a", "second")).status() ==
        wire::CLAIM_STATUS_RECORDED);
  const wire::ClaimResult result = Apply(table, MakeClaim("k", "b"));
  CHECK(result.status() == wire::CLAIM_STATUS_FINISHED);
  CHECK(result.answer() == "first");
  CHECK(Apply(table, MakeRelease("k", "a")).status() ==
        wire::CLAIM_STATUS_REFUSED);
}

TEST_CASE("a late claim of a released attempt is void") {
  ClaimTable table;
  Apply(table, MakeRelease("k", "a"));
  CHECK(Apply(table, MakeClaim("k", "a")).status() == wire::CLAIM_STATUS_VOID);
  CHECK(Apply(table, MakeClaim("k", "b")).status() ==
        wire::CLAIM_STATUS_GRANTED);
  Apply(table, MakeRelease("k", "b"));
  CHECK(Apply(table, MakeClaim("k", "b")).status() == wire::CLAIM_STATUS_VOID);
  CHECK(Apply(table, MakeClaim("k", "c")).status() ==
        wire::CLAIM_STATUS_GRANTED);
}

TEST_CASE("a response that is too large leaves the outcome unknown") {
  ClaimTable table({.max_response_bytes = 10});
  Apply(table, MakeClaim("k", "a"));
  Apply(table, MakeFinish("k", "a", "longer than ten"));
  CHECK(Apply(table, MakeClaim("k", "b")).status() ==
        wire::CLAIM_STATUS_UNKNOWN);
}

TEST_CASE("a full table rejects new claims and drops none early") {
  ClaimTable table(
      {.retention = std::chrono::milliseconds(1000), .max_claims = 2});
  Apply(table, MakeClaim("k1", "a"), 100);
  Apply(table, MakeClaim("k2", "b"), 200);
  CHECK(Apply(table, MakeClaim("k3", "c"), 1099).status() ==
        wire::CLAIM_STATUS_FULL);
  CHECK(Apply(table, MakeClaim("k1", "d"), 1099).status() ==
        wire::CLAIM_STATUS_IN_PROGRESS);
  CHECK(Apply(table, MakeClaim("k3", "c"), 1100).status() ==
        wire::CLAIM_STATUS_GRANTED);
}

TEST_CASE("a full list of released attempts rejects a release") {
  ClaimTable table({.max_releases = 1});
  Apply(table, MakeRelease("k", "a"));
  CHECK(Apply(table, MakeRelease("k", "b")).status() ==
        wire::CLAIM_STATUS_FULL);
  CHECK(Apply(table, MakeRelease("k", "a")).status() ==
        wire::CLAIM_STATUS_RECORDED);
}

TEST_CASE("time that goes back expires nothing and changes no order") {
  ClaimTable table({.retention = std::chrono::milliseconds(1000)});
  Apply(table, MakeClaim("k1", "a"), 5000);
  Apply(table, MakeClaim("k2", "b"), 10);
  CHECK(table.time_ms() == 5000);
  CHECK(Apply(table, MakeClaim("k1", "c"), 5999).status() ==
        wire::CLAIM_STATUS_IN_PROGRESS);
}

TEST_CASE("a snapshot restores equal state, a damaged one is reported") {
  ClaimTable table;
  Apply(table, MakeClaim("k1", "a"));
  Apply(table, MakeFinish("k1", "a", "answer"));
  Apply(table, MakeClaim("k2", "b"));
  Apply(table, MakeRelease("k3", "c"));
  ClaimTable other;
  Apply(other, MakeClaim("k9", "z"));
  other.RestoreSnapshot(table.TakeSnapshot());
  CHECK(other.TakeSnapshot() == table.TakeSnapshot());
  CHECK(Apply(other, MakeClaim("k3", "c")).status() == wire::CLAIM_STATUS_VOID);
  CHECK(Apply(other, MakeClaim("k1", "d")).answer() == "answer");
  CHECK_THROWS(other.RestoreSnapshot("\xff\xff"));
}

// Simulates relays whose messages are lost, duplicated and reordered. A granted
// attempt runs at once. An attempt that gives up never runs once its release is
// confirmed.
void RunRandomOperations(unsigned seed) {
  std::mt19937 random(seed);
  const auto random_below = [&](unsigned bound) { return random() % bound; };
  ClaimTable table;
  std::vector<wire::ClaimOperation> messages_in_flight;
  std::map<std::string, std::set<std::string>> run_attempts_by_key;
  std::set<std::string> released_attempts;
  std::set<std::string> decided_attempts;
  int attempts = 0;
  for (int step = 0; step < 4000; ++step) {
    if (messages_in_flight.empty() || random_below(3) == 0) {
      messages_in_flight.push_back(
          MakeClaim("k" + std::to_string(random_below(40)),
                    "a" + std::to_string(attempts++)));
    }
    const std::size_t chosen =
        random_below(static_cast<unsigned>(messages_in_flight.size()));
    const wire::ClaimOperation operation = messages_in_flight[chosen];
    if (random_below(4) != 0)
      messages_in_flight.erase(messages_in_flight.begin() +
                               static_cast<std::ptrdiff_t>(chosen));
    const wire::ClaimResult result = Apply(table, operation, step);
    const std::string& attempt = operation.attempt_id();
    const bool reply_lost = random_below(4) == 0;
    if (operation.action() == wire::CLAIM_ACTION_CLAIM) {
      if (result.status() == wire::CLAIM_STATUS_FINISHED)
        REQUIRE(run_attempts_by_key[operation.key()].count(result.answer()) ==
                1);
      // A relay uses the first reply only, and treats its loss as a rejection.
      if (!decided_attempts.insert(attempt).second)
        continue;
      if (reply_lost || result.status() != wire::CLAIM_STATUS_GRANTED) {
        messages_in_flight.push_back(MakeRelease(operation.key(), attempt));
        continue;
      }
      INFO("seed " << seed << " step " << step << " attempt " << attempt);
      REQUIRE(released_attempts.count(attempt) == 0);
      run_attempts_by_key[operation.key()].insert(attempt);
      REQUIRE(run_attempts_by_key[operation.key()].size() == 1);
      messages_in_flight.push_back(
          MakeFinish(operation.key(), attempt, attempt));
    } else if (operation.action() == wire::CLAIM_ACTION_RELEASE &&
               result.status() == wire::CLAIM_STATUS_RECORDED) {
      released_attempts.insert(attempt);
    }
  }
  CHECK(!run_attempts_by_key.empty());
}

TEST_CASE("each request runs at most once in random runs") {
  for (unsigned seed = 1; seed <= 50; ++seed)
    RunRandomOperations(seed);
}

TEST_CASE("random commands cause no crash and keep two tables equal") {
  std::mt19937 random(1);
  ClaimTable first({.max_claims = 5, .max_releases = 5});
  ClaimTable second({.max_claims = 5, .max_releases = 5});
  for (int i = 0; i < 20000; ++i) {
    std::string bytes(random() % 48, '\0');
    for (char& byte : bytes)
      byte = static_cast<char>(random() % 4 == 0 ? random() : random() % 40);
    if (random() % 2 == 0) {
      wire::ClaimCommand command;
      command.set_time_ms(random());
      wire::ClaimOperation* operation = command.add_operations();
      operation->set_action(static_cast<wire::ClaimAction>(random() % 6));
      operation->set_key(bytes.substr(0, 1));
      operation->set_attempt_id(bytes.substr(0, random() % 3));
      bytes = command.SerializeAsString();
    }
    REQUIRE(first.Apply(i, bytes) == second.Apply(i, bytes));
  }
  CHECK(first.TakeSnapshot() == second.TakeSnapshot());
}

}  // namespace
}  // namespace yuccastair::claims
