// The JSON form: what is written can be read, and nothing else is accepted.

#include "yuccastair/state/json.h"

#include <catch2/catch.hpp>

#include "settings_changes.h"
#include "yuccastair/state/key_hash.h"

namespace yuccastair::state {
namespace {

using Json = nlohmann::json;

std::vector<std::string> FaultsOf(const Json& json) {
  std::vector<std::string> faults;
  ChangeFromJson(json, faults);
  return faults;
}

Json WithEdit(const Json& edit) {
  return {{"operation_id", "a"}, {"base_version", 0}, {"edits", {edit}}};
}

TEST_CASE("every kind of edit survives the way through JSON") {
  wire::Key key;
  key.set_organisation("acme");
  key.set_id("0123456789ab");
  key.set_salt(std::string(kSaltSize, '\x01'));
  key.set_hash(std::string(kHashSize, '\xfe'));
  const wire::SettingsEdit edits[] = {
      SetFleet(kRetryShare, 123456),
      SetFleet(kRetryShare, 1),
      SetFleet(kImportance, 3),
      Set(wire::SETTINGS_LEVEL_ROUTE, "r", kOpen, 1),
      PutRoute("r", "s", "GET", "/x"),
      PutService("s", "d"),
      PutOrganisation("acme", 2.5, 10),
      PutKey(key),
      PutZoneOut("z"),
      Remove(PutZoneOut("z"))};
  for (const wire::SettingsEdit& edit : edits) {
    const Json json = WithEdit(EditToJson(edit));
    CAPTURE(json.dump());
    std::vector<std::string> faults;
    const wire::SettingsChange change = ChangeFromJson(json, faults);
    CHECK(faults.empty());
    REQUIRE(change.edits_size() == 1);
    CHECK(change.edits(0).SerializeAsString() == edit.SerializeAsString());
  }
}

TEST_CASE("the hash and salt of a key are not shown") {
  wire::SettingsEntry entry;
  entry.mutable_key()->set_hash("h");
  entry.mutable_key()->set_salt("s");
  CHECK(EntryToJson(entry).size() == 3);
}

TEST_CASE("a change with a fault is refused with a reason") {
  const Json cases[] = {
      Json(),
      Json::array(),
      {{"operation_id", "a"}},
      {{"operation_id", 1}, {"base_version", 0}, {"edits", Json::array()}},
      {{"operation_id", "a"}, {"base_version", -1}, {"edits", Json::array()}},
      {{"operation_id", "a"}, {"base_version", 0}, {"edits", 3}},
      {{"operation_id", "a"}, {"base_version", 0}, {"rollback_to", "x"}},
      WithEdit(Json()),
      WithEdit({{"kind", "nothing"}}),
      WithEdit({{"kind", "zone"}, {"name", 1}}),
      WithEdit({{"kind", "zone"}, {"name", "a"}, {"more", 1}}),
      WithEdit({{"kind", "zone"}, {"name", "a"}, {"remove", "yes"}}),
      WithEdit({{"kind", "organisation"}, {"name", "a"}, {"rate", "1"}}),
      WithEdit({{"kind", "setting"}, {"level", "x"}, {"key", "y"}}),
      WithEdit({{"kind", "setting"},
                {"level", "fleet"},
                {"key", "attempts"},
                {"value", {1}}}),
  };
  for (const Json& json : cases) {
    CAPTURE(json.dump());
    CHECK_FALSE(FaultsOf(json).empty());
  }
}

// Guards against a crash of a control process by what an operator sends.
TEST_CASE("random bytes are refused and never crash") {
  const auto bytes = GENERATE(take(300, chunk(60, random(0, 255))));
  std::string text;
  for (const int byte : bytes)
    text += static_cast<char>(byte);
  const Json json = Json::parse(text, nullptr, false);
  CHECK_FALSE(FaultsOf(json).empty());
  SettingsMachine machine;
  machine.Apply(1, text);
  CHECK(machine.version() == 0);
  CHECK_FALSE(SplitKey(text));
  for (const SettingKey& key : SettingKeys())
    CHECK_FALSE(ParseSetting(key, text));
}

/// Replaces one character of a valid change by a random one.
TEST_CASE("a damaged change is refused or means what it says") {
  const std::string valid =
      WithEdit(EditToJson(PutRoute("r", "s", "GET", "/x"))).dump();
  const auto position =
      GENERATE_COPY(take(200, random(0, static_cast<int>(valid.size()) - 1)));
  const auto byte = GENERATE(take(2, random(0, 255)));
  std::string damaged = valid;
  damaged[static_cast<std::size_t>(position)] = static_cast<char>(byte);
  const Json json = Json::parse(damaged, nullptr, false);
  std::vector<std::string> faults;
  const wire::SettingsChange change = ChangeFromJson(json, faults);
  if (faults.empty())
    CHECK(EditToJson(change.edits(0)) == json.at("edits").at(0));
}

}  // namespace
}  // namespace yuccastair::state
