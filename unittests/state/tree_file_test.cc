// Tree files: faults with their lines, and files that are damaged.

#include "yuccastair/state/tree_file.h"

#include <catch2/catch.hpp>

#include "settings_changes.h"
#include "yuccastair/support/error.h"

namespace yuccastair::state {
namespace {

constexpr const char* kValid = R"([fleet]
attempts = 3
retry.share = 0.05
[service.orders]
deployment = "mids"
[service."a.b"]
limit = { min = 2, max = 1000 }
[route.read]
service = "orders"
path = "/orders"
[organisation.acme]
rate = 2.5
burst = 10
)";

TEST_CASE("a tree file is read as a whole") {
  const TreeFile file = ParseTreeFile(kValid, "tree.toml");
  CHECK(file.faults.empty());
  CHECK(file.entries.size() == 7);
}

TEST_CASE("a fault is reported with its line") {
  const std::tuple<const char*, std::uint32_t, const char*> cases[] = {
      {"fleet = 3", 1, "fleet"},
      {"[fleet]\nattempts = 0", 2, "fleet.attempts"},
      {"[fleet]\nattempts = 2.0", 2, "fleet.attempts"},
      {"[fleet]\nretry.share = 0.0000001", 2, "fleet.retry.share"},
      {"[fleet]\nretry.share = nan", 2, "fleet.retry.share"},
      {"[fleet]\nopen = \"yes\"", 2, "fleet.open"},
      {"[fleet]\nattempts = [1]", 2, "fleet.attempts"},
      {"[service]\nx = 1", 2, "service.x"},
      {"[service.x]\nservice = \"y\"", 2, "service.x.service"},
      {"[service.x]\ndeployment = 1", 2, "service.x.deployment"},
      {"[service.\"a/b\"]\nattempts = 1", 2, "service.a/b.attempts"},
      {"[route.x]\npath = \"/\"", 1, "route.x.service"},
      {"[organisation.x]\nrate = 1", 1, "organisation.x.burst"},
      {"[organisation.x]\nrate = 1\nburst = 0", 1, "organisation.x"},
      {"[fleet]\nlimit.min = 50", 0, ""},
  };
  for (const auto& [text, line, key] : cases) {
    CAPTURE(text);
    const TreeFile file = ParseTreeFile(text, "f");
    REQUIRE(file.faults.size() == 1);
    CHECK(file.faults[0].line == line);
    CHECK(file.faults[0].key == key);
  }
}

TEST_CASE("applying the edits between two trees leads to the wanted one") {
  const TreeFile wanted = ParseTreeFile(kValid, "f");
  SettingsMachine machine;
  ApplyNext(machine, {SetFleet(kAttempts, 9), SetFleet(kOpen, 1),
                      PutRoute("old", "s", "", "/old")});
  const auto entries = [&] {
    std::vector<wire::SettingsEntry> list;
    for (const auto& [id, entry] : machine.tree().entries())
      list.push_back(entry);
    return list;
  };
  ApplyNext(machine, EditsBetween(entries(), wanted.entries));
  CHECK(machine.tree().entries().size() == wanted.entries.size());
  CHECK(EditsBetween(entries(), wanted.entries).empty());
}

// Guards against a crash, or a silently different tree, from a damaged file.
TEST_CASE("a damaged tree file is refused or read by the rules") {
  const std::string valid = kValid;
  const auto position =
      GENERATE_COPY(take(300, random(0, static_cast<int>(valid.size()) - 1)));
  const auto byte = GENERATE(take(2, random(0, 255)));
  std::string damaged = valid;
  damaged[static_cast<std::size_t>(position)] = static_cast<char>(byte);
  TreeFile file;
  try {
    file = ParseTreeFile(damaged, "f");
  } catch (const support::Error&) {
    return;
  }
  if (!file.faults.empty())
    return;
  SettingsMachine machine;
  const auto result = ApplyNext(machine, EditsBetween({}, file.entries));
  CHECK(result.outcome() == wire::CHANGE_OUTCOME_COMMITTED);
}

TEST_CASE("random bytes are no tree file") {
  const auto bytes = GENERATE(take(200, chunk(40, random(1, 255))));
  std::string text = "=";
  for (const int byte : bytes)
    text += static_cast<char>(byte);
  CHECK_THROWS_AS(ParseTreeFile(text, "f"), support::Error);
}

}  // namespace
}  // namespace yuccastair::state
