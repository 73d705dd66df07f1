// The schema, the inheritance between levels and the rules on entries.

#include <catch2/catch.hpp>
#include <limits>

#include "settings_changes.h"
#include "yuccastair/state/key_hash.h"
#include "yuccastair/state/validate.h"

namespace yuccastair::state {
namespace {

TEST_CASE("keys are numbered without gaps and their defaults are allowed") {
  std::uint32_t number = 0;
  for (const SettingKey& key : SettingKeys()) {
    CHECK(key.number == ++number);
    CHECK(IsAllowed(key, key.fallback));
    CHECK(FindSettingKey(key.name) == &key);
    CHECK(ParseSetting(key, FormatSetting(key, key.fallback)) == key.fallback);
  }
}

TEST_CASE("values are parsed exactly or refused") {
  struct Case {
    const char* key;
    const char* text;
    std::optional<std::int64_t> value;
  };
  const Case cases[] = {
      {"attempts", "6", 6},
      {"attempts", "0", std::nullopt},
      {"attempts", "65", std::nullopt},
      {"attempts", "6.0", std::nullopt},
      {"attempts", " 6", std::nullopt},
      {"attempts", "", std::nullopt},
      {"attempts", "99999999999999999999", std::nullopt},
      {"retry.share", "0.25", 250'000},
      {"retry.share", "1", 1'000'000},
      {"retry.share", "1.000001", std::nullopt},
      {"retry.share", "0.0000001", std::nullopt},
      {"retry.share", "-0.1", std::nullopt},
      {"retry.share", ".5", std::nullopt},
      {"retry.share", "1e-1", std::nullopt},
      {"open", "true", 1},
      {"open", "1", std::nullopt},
      {"importance", "critical", 0},
      {"importance", "Critical", std::nullopt},
      {"idempotent", "by-method", 2},
  };
  for (const Case& test : cases) {
    CAPTURE(test.key, test.text);
    CHECK(ParseSetting(*FindSettingKey(test.key), test.text) == test.value);
  }
}

TEST_CASE("each level overrides only what it sets") {
  SettingsTree tree;
  tree.Apply(PutService("orders", "mids"));
  tree.Apply(PutRoute("create", "orders", "POST", "/orders"));
  tree.Apply(SetFleet(kAttempts, 1));
  tree.Apply(SetFleet(kDeadlineMs, 100));
  tree.Apply(Set(wire::SETTINGS_LEVEL_DEPLOYMENT, "mids", kAttempts, 2));
  tree.Apply(Set(wire::SETTINGS_LEVEL_SERVICE, "orders", kQueueMax, 3));
  tree.Apply(Set(wire::SETTINGS_LEVEL_ROUTE, "create", kQueueMax, 4));
  const auto value = [&](wire::SettingsLevel level, const std::string& name,
                         SettingNumber number) {
    const auto effective =
        tree.Effective(*FindSettingKey(number), tree.ScopeOf(level, name));
    return effective.source + " " + std::to_string(effective.value);
  };
  const auto route = wire::SETTINGS_LEVEL_ROUTE;
  CHECK(value(route, "create", kDeadlineMs) == "fleet 100");
  CHECK(value(route, "create", kAttempts) == "deployment/mids 2");
  CHECK(value(route, "create", kQueueMax) == "route/create 4");
  CHECK(value(route, "create", kOpen) == "default 0");
  CHECK(value(wire::SETTINGS_LEVEL_SERVICE, "orders", kQueueMax) ==
        "service/orders 3");
  CHECK(value(wire::SETTINGS_LEVEL_SERVICE, "other", kAttempts) == "fleet 1");
}

TEST_CASE("an entry that breaks a rule is refused") {
  const double infinity = std::numeric_limits<double>::infinity();
  wire::Key key;
  key.set_organisation("acme");
  key.set_id("xyz");
  wire::SettingsEdit unknown_key = SetFleet(kAttempts, 1);
  unknown_key.mutable_entry()->mutable_setting()->set_key(99);
  wire::SettingsEdit unknown_level = SetFleet(kAttempts, 1);
  unknown_level.mutable_entry()->mutable_setting()->set_level(
      static_cast<wire::SettingsLevel>(9));
  const std::pair<wire::SettingsEdit, std::size_t> cases[] = {
      {wire::SettingsEdit(), 1},
      {SetFleet(kAttempts, 65), 1},
      {unknown_key, 1},
      {unknown_level, 1},
      {Set(wire::SETTINGS_LEVEL_FLEET, "x", kAttempts, 1), 1},
      {Set(wire::SETTINGS_LEVEL_SERVICE, "", kAttempts, 1), 1},
      {Set(wire::SETTINGS_LEVEL_SERVICE, "a/b", kAttempts, 1), 1},
      {PutRoute("r", "s", "", "/"), 0},
      {PutRoute("r", "s", "GET", "/a/b.c"), 0},
      {PutRoute("r", "s", "Get", "/a"), 1},
      {PutRoute("r", "s", "", ""), 1},
      {PutRoute("r", "s", "", "a"), 1},
      {PutRoute("r", "s", "", "/a/"), 1},
      {PutRoute("r", "s", "", "/a//b"), 1},
      {PutRoute("r", "s", "", "/a?b"), 1},
      {PutRoute("r", "s", "", "/a b"), 1},
      {PutRoute("r", "s", "", "/" + std::string(256, 'a')), 1},
      {PutRoute("-r", "", "", "/"), 2},
      {PutService("s", ""), 1},
      {PutOrganisation("acme", 0.5, 1), 0},
      {PutOrganisation("acme", -1, 0), 2},
      {PutOrganisation("acme", infinity, 1), 1},
      {PutOrganisation("a.b", 1, 1), 1},
      {PutKey(key), 2},
      {PutZoneOut(std::string(65, 'z')), 1},
      {Remove(PutOrganisation("acme", 0, 0)), 0},
  };
  for (const auto& [edit, count] : cases) {
    CAPTURE(edit.ShortDebugString());
    std::vector<std::string> faults;
    CheckEntry(edit.entry(), edit.remove(), faults);
    CHECK(faults.size() == count);
  }
}

TEST_CASE("rules between entries are checked on the whole tree") {
  wire::Key key;
  key.set_organisation("acme");
  const std::pair<std::vector<wire::SettingsEdit>, std::size_t> cases[] = {
      {{PutRoute("a", "s", "", "/x"), PutRoute("b", "t", "GET", "/x")}, 0},
      {{PutRoute("a", "s", "", "/x"), PutRoute("b", "t", "", "/x")}, 1},
      {{PutKey(key)}, 1},
      {{PutKey(key), PutOrganisation("acme", 1, 1)}, 0},
      {{Set(wire::SETTINGS_LEVEL_ROUTE, "r", kOpen, 1)}, 1},
      {{SetFleet(kLimitMin, 50)}, 1},
      {{SetFleet(kLimitMin, 50), SetFleet(kLimitInitial, 50)}, 0},
      {{PutService("s", "d"),
        Set(wire::SETTINGS_LEVEL_DEPLOYMENT, "d", kLimitMax, 40),
        Set(wire::SETTINGS_LEVEL_SERVICE, "s", kLimitInitial, 41)},
       1},
  };
  for (const auto& [edits, count] : cases) {
    SettingsTree tree;
    for (const wire::SettingsEdit& edit : edits)
      tree.Apply(edit);
    std::vector<std::string> faults;
    CheckTree(tree, faults);
    CAPTURE(edits.front().ShortDebugString());
    CHECK(faults.size() == count);
  }
}

std::string CountingHex(std::size_t bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes; ++i)
    text += i % 2 == 0 ? "a1" : "0f";
  return text;
}

TEST_CASE("a key matches its own secret only") {
  const IssuedKey issued = IssueKey("acme", CountingHex);
  const auto parts = SplitKey(issued.text);
  REQUIRE(parts);
  CHECK(parts->organisation == "acme");
  CHECK(parts->id == issued.record.id());
  CHECK(SecretMatches(parts->secret, issued.record));
  std::string other(parts->secret);
  other.back() = other.back() == '0' ? '1' : '0';
  CHECK_FALSE(SecretMatches(other, issued.record));
  wire::Key other_salt = issued.record;
  other_salt.mutable_salt()->at(0) ^= 1;
  CHECK_FALSE(SecretMatches(parts->secret, other_salt));
  wire::Key empty_hash = issued.record;
  empty_hash.clear_hash();
  CHECK_FALSE(SecretMatches(parts->secret, empty_hash));
}

TEST_CASE("a text that is not of the form of a key is refused") {
  const std::string text = IssueKey("acme", CountingHex).text;
  for (const std::string& damaged :
       {std::string(), std::string("acme"), std::string("acme."),
        text.substr(5), "." + text.substr(5), text + "0",
        text.substr(0, text.size() - 1), text.substr(0, text.size() - 1) + "G"})
    CHECK_FALSE(SplitKey(damaged));
}

}  // namespace
}  // namespace yuccastair::state
