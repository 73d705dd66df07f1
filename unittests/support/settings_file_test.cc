// Settings files: every fault is reported with its place and what is allowed.

#include "yuccastair/support/settings_file.h"

#include <catch2/catch.hpp>

#include "temporary_dir.h"
#include "yuccastair/support/error.h"

namespace yuccastair::support {
namespace {

TEST_CASE("an unknown key is reported with the nearest known name") {
  const TemporaryDir dir;
  const std::string path =
      dir.Write("settings.toml", "[node]\nzone = \"a\"\nlimt = 3\n");
  SettingsFile settings(path);
  settings.RequireString("node.zone");
  settings.GetInteger("node.limit", 1, 1, 10);
  const auto faults = settings.FinishAndTakeFaults();
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].line == 3);
  CHECK(faults[0].key == "node.limt");
  CHECK(faults[0].allowed == "unknown key; did you mean node.limit?");
}

TEST_CASE("a value out of range is reported and the default is used") {
  const TemporaryDir dir;
  const std::string path = dir.Write("settings.toml", "[node]\nlimit = 11\n");
  SettingsFile settings(path);
  CHECK(settings.GetInteger("node.limit", 4, 1, 10) == 4);
  const auto faults = settings.FinishAndTakeFaults();
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].value == "11");
}

TEST_CASE("a missing required address is reported") {
  const TemporaryDir dir;
  const std::string path = dir.Write("settings.toml", "[node]\n");
  SettingsFile settings(path);
  settings.RequireAddress("node.listen");
  CHECK(settings.FinishAndTakeFaults().size() == 1);
}

TEST_CASE("a file that is not TOML is refused with its line") {
  const TemporaryDir dir;
  const std::string path = dir.Write("settings.toml", "[node\n");
  CHECK_THROWS_AS(SettingsFile(path), Error);
}

}  // namespace
}  // namespace yuccastair::support
