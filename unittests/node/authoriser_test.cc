// Tests the authoriser and the settings view of a node.

#include "authoriser.h"

#include <catch2/catch.hpp>

#include "settings_changes.h"
#include "yuccastair/state/key_hash.h"
#include "yuccastair/support/id.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

wire::SyncReply MakeSyncReply(const state::SettingsMachine& machine,
                              std::uint64_t known) {
  wire::SyncReply reply;
  reply.set_settings_version(machine.version());
  reply.set_settings(machine.EncodeUpdate(known));
  return reply;
}

http::Request MakeRequest(const std::string& method, const std::string& path) {
  http::Request request;
  request.method = method;
  request.path = path;
  return request;
}

class AuthoriserFixture {
 public:
  AuthoriserFixture() {
    issued = state::IssueKey("acme", support::RandomHex);
    ApplyNext(
        machine,
        {PutOrganisation("acme", 10, 20), PutKey(issued.record),
         PutRoute("orders", "orders", "", "/orders"),
         PutRoute("create", "orders", "POST", "/orders"),
         PutRoute("one", "archive", "GET", "/orders/one"),
         PutRoute("public", "preview", "", "/public"),
         Set(wire::SETTINGS_LEVEL_ROUTE, "public", state::kOpen, 1),
         Set(wire::SETTINGS_LEVEL_SERVICE, "orders", state::kDeadlineMs, 700),
         Set(wire::SETTINGS_LEVEL_ROUTE, "create", state::kImportance, 0)});
    Sync();
  }

  void Sync() {
    if (view.Apply(MakeSyncReply(machine, view.VersionToReport())))
      current_as_of = clock.Now();
  }

  /// Returns the status of the rejection, or 0 if the request may run.
  int RejectionStatus(const std::string& method,
                      const std::string& path,
                      const std::string& key) const {
    const auto result =
        authoriser.AuthoriseCaller(MakeRequest(method, path), key);
    if (!result.rejection)
      return 0;
    CHECK(result.rejection->outcome() == wire::OUTCOME_NOT_RUN);
    CHECK(result.rejection->step() == "authorise");
    CHECK((key.empty() ||
           result.rejection->reason().find(key) == std::string::npos));
    return static_cast<int>(result.rejection->status());
  }

  support::ManualClock clock;
  support::TimePoint current_as_of;
  state::SettingsMachine machine;
  state::IssuedKey issued;
  SettingsView view;
  Authoriser authoriser{view, clock, [this] { return current_as_of; }};
};

TEST_CASE_METHOD(AuthoriserFixture,
                 "a keyed route runs for the key's organisation") {
  const auto result = authoriser.AuthoriseCaller(
      MakeRequest("POST", "/orders?x=1"), issued.text);
  REQUIRE_FALSE(result.rejection);
  CHECK(result.policy.organisation == "acme");
  CHECK(result.policy.route == "create");
  CHECK(result.policy.service == "orders");
  CHECK(result.policy.importance == wire::IMPORTANCE_CRITICAL);
  CHECK_FALSE(result.policy.idempotent);
  CHECK(result.policy.deadline == milliseconds(700));
  CHECK(result.policy.settings_version == 1);
}

// Guards against running requests without a key or with an invalid key.
TEST_CASE_METHOD(AuthoriserFixture,
                 "a request without a valid key is rejected") {
  std::string other_organisation = issued.text;
  other_organisation.replace(0, 4, "acmf");
  std::string other_secret = issued.text;
  other_secret.back() = other_secret.back() == '0' ? '1' : '0';
  CHECK(RejectionStatus("GET", "/orders", issued.text) == 0);
  CHECK(RejectionStatus("GET", "/orders", "") == 401);
  CHECK(RejectionStatus("GET", "/orders", "acme") == 401);
  CHECK(RejectionStatus("GET", "/orders", other_organisation) == 401);
  CHECK(RejectionStatus("GET", "/orders", other_secret) == 401);
  CHECK(RejectionStatus("GET", "/public", "") == 0);
  CHECK(RejectionStatus("GET", "/public", other_secret) == 0);
}

TEST_CASE_METHOD(AuthoriserFixture,
                 "a revoked key stops working with the next sync") {
  ApplyNext(machine, {Remove(PutKey(issued.record))});
  CHECK(RejectionStatus("GET", "/orders", issued.text) == 0);
  Sync();
  CHECK(RejectionStatus("GET", "/orders", issued.text) == 401);
}

TEST_CASE_METHOD(AuthoriserFixture,
                 "the longest prefix of whole segments wins") {
  const std::tuple<const char*, const char*, const char*> cases[] = {
      {"GET", "/orders", "orders"},
      {"POST", "/orders", "create"},
      {"POST", "/orders/9", "create"},
      {"GET", "/orders/one", "one"},
      {"GET", "/orders/one/", "one"},
      {"GET", "/orders/one/2", "one"},
      {"PUT", "/orders/one", "orders"},
      {"GET", "/orders/ones", "orders"},
      {"GET", "/ordersx", ""},
      {"GET", "/", ""},
      {"GET", "", ""},
      {"GET", "orders", ""},
  };
  for (const auto& [method, path, name] : cases) {
    CAPTURE(method, path);
    const Route* route = view.Current()->FindRoute(method, path);
    CHECK((route ? route->name : "") == std::string(name));
  }
}

// Guards against a path that the target resolves to another route than this
// node does.
TEST_CASE_METHOD(AuthoriserFixture,
                 "a path with dot or encoded segments is rejected") {
  for (const char* path :
       {"/public/../orders", "/public/..", "/public/./x", "/public//x",
        "/public/%2e%2e/orders", "/public/%2E./orders", "/public%2Forders",
        "/public\\..\\orders", "/public/%252e%252e/orders", "public", "",
        "//public"}) {
    CAPTURE(path);
    CHECK(RejectionStatus("GET", path, issued.text) == 400);
  }
  CHECK(RejectionStatus("GET", "/public/a..b/%20?x=../y", "") == 0);
}

// Guards against the use of a revoked key at a node that cannot reach the
// control processes.
TEST_CASE_METHOD(AuthoriserFixture, "stale settings serve open routes only") {
  clock.Advance(milliseconds(3000));
  CHECK(RejectionStatus("GET", "/orders", issued.text) == 0);
  clock.Advance(milliseconds(1));
  CHECK(RejectionStatus("GET", "/orders", issued.text) == 503);
  CHECK(RejectionStatus("GET", "/unknown", issued.text) == 503);
  CHECK(RejectionStatus("GET", "/public", "") == 0);
  Sync();
  CHECK(RejectionStatus("GET", "/orders", issued.text) == 0);
  CHECK(RejectionStatus("GET", "/unknown", issued.text) == 404);
}

TEST_CASE("a node that never synced serves nothing") {
  support::ManualClock clock;
  SettingsView view;
  const Authoriser authoriser(view, clock, [] { return support::TimePoint(); });
  const auto result = authoriser.AuthoriseCaller(MakeRequest("GET", "/x"), "");
  REQUIRE(result.rejection);
  CHECK(result.rejection->status() == 503);
}

TEST_CASE_METHOD(AuthoriserFixture,
                 "a target's call keeps the given organisation") {
  const auto result = authoriser.AuthoriseTargetCall(
      MakeRequest("GET", "/orders/one"), "other");
  REQUIRE_FALSE(result.rejection);
  CHECK(result.policy.organisation == "other");
  CHECK(result.policy.service == "archive");
  CHECK(result.policy.idempotent);
}

// Guards against a stale version that makes a revoked key valid or a closed
// route open again.
TEST_CASE_METHOD(AuthoriserFixture,
                 "an older version never replaces the current one") {
  const wire::SyncReply older = MakeSyncReply(machine, 0);
  ApplyNext(machine, {Remove(PutKey(issued.record))});
  Sync();
  CHECK(view.Apply(older));
  CHECK(view.Current()->version() == 2);
  CHECK(view.VersionToReport() == 2);
  CHECK(RejectionStatus("GET", "/orders", issued.text) == 401);
}

TEST_CASE_METHOD(AuthoriserFixture,
                 "a delta is applied to its own base version only") {
  ApplyNext(machine, {PutZoneOut("a")});
  ApplyNext(machine, {PutZoneOut("b")});
  CHECK_FALSE(view.Apply(MakeSyncReply(machine, 2)));
  CHECK(view.Current()->version() == 1);
  CHECK(view.VersionToReport() == 0);
  Sync();
  CHECK(view.Current()->version() == 3);
  CHECK_FALSE(view.Current()->IsZoneInService("a"));
  CHECK(view.Current()->IsZoneInService("c"));
}

// Guards against a node that considers its settings current although it lacks
// the version that the control process has.
TEST_CASE_METHOD(AuthoriserFixture,
                 "a reply without its settings is not current") {
  wire::SyncReply reply;
  reply.set_settings_version(5);
  CHECK_FALSE(view.Apply(reply));
  reply.set_settings("\xff\xff");
  CHECK_FALSE(view.Apply(reply));
  CHECK(view.Current()->version() == 1);
}

TEST_CASE_METHOD(AuthoriserFixture, "random bytes never replace the settings") {
  const auto bytes = GENERATE(take(200, chunk(60, random(0, 255))));
  wire::SyncReply reply;
  reply.set_settings_version(2);
  std::string text;
  for (const int byte : bytes)
    text += static_cast<char>(byte);
  reply.set_settings(text);
  CHECK_FALSE(view.Apply(reply));
  CHECK(RejectionStatus("GET", text, "") == 400);
  CHECK(RejectionStatus("GET", "/orders", text) == 401);
  CHECK(RejectionStatus("GET", "/orders", issued.text) == 0);
}

TEST_CASE_METHOD(AuthoriserFixture,
                 "deltas produce the same settings as a snapshot") {
  for (int i = 0; i < 30; ++i) {
    ApplyNext(machine, {PutOrganisation("o" + std::to_string(i % 7), 1 + i, 5),
                        Set(wire::SETTINGS_LEVEL_SERVICE, "orders",
                            state::kAttempts, 1 + i),
                        i % 2 ? PutZoneOut("z") : Remove(PutZoneOut("z"))});
    if (i % 3 == 0)
      Sync();
  }
  Sync();
  SettingsView whole;
  REQUIRE(whole.Apply(MakeSyncReply(machine, 0)));
  for (int i = 0; i < 7; ++i) {
    const std::string name = "o" + std::to_string(i);
    REQUIRE(view.Current()->FindOrganisation(name));
    CHECK(view.Current()->FindOrganisation(name)->rate() ==
          whole.Current()->FindOrganisation(name)->rate());
  }
  CHECK(view.Current()->ServiceSettings("orders").Get(state::kAttempts) == 30);
  CHECK(view.Current()->ServiceSettings("none").Get(state::kAttempts) == 6);
  CHECK_FALSE(view.Current()->IsZoneInService("z"));
}

}  // namespace
}  // namespace yuccastair::node
