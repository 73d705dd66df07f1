// The reference page of the settings is current.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "yuccastair/ctl/ctl.h"

namespace yuccastair::ctl {
namespace {

constexpr const char* kBegin = "<!-- reference begin -->\n";
constexpr const char* kEnd = "<!-- reference end -->";

// Guards against a page that lags behind the schema.
TEST_CASE("docs/settings.md holds the output of ctl reference") {
  std::ostringstream out;
  REQUIRE(Run({"reference"}, {out, out, nullptr, ""}) == kSuccess);
  const std::filesystem::path root =
      std::filesystem::path(__FILE__).parent_path() / ".." / "..";
  std::ifstream in(root / "docs" / "settings.md");
  const std::string page{std::istreambuf_iterator<char>(in), {}};
  const std::size_t begin = page.find(kBegin);
  const std::size_t end = page.find(kEnd);
  REQUIRE(begin != std::string::npos);
  REQUIRE(end != std::string::npos);
  const std::size_t start = begin + std::string(kBegin).size();
  CHECK(page.substr(start, end - start) == out.str());
}

}  // namespace
}  // namespace yuccastair::ctl
