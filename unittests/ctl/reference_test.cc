// The reference page of the settings is current.

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>

#include "yuccastair/ctl/ctl.h"

namespace yuccastair::ctl {
namespace {

constexpr const char* kBegin = "<!-- reference begin -->\n";
constexpr const char* kEnd = "<!-- reference end -->";

std::string ReadFile(const std::string& path) {
  std::ifstream in(std::filesystem::path(__FILE__).parent_path() / ".." / ".." /
                   path);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Guards against a page that lags behind the schema.
TEST_CASE("docs/settings.md holds the output of ctl reference") {
  std::ostringstream out;
  REQUIRE(Run({"reference"}, {out, out, nullptr, ""}) == kSuccess);
  const std::string page = ReadFile("docs/settings.md");
  const std::size_t begin = page.find(kBegin);
  const std::size_t end = page.find(kEnd);
  REQUIRE(begin != std::string::npos);
  REQUIRE(end != std::string::npos);
  const std::size_t start = begin + std::string(kBegin).size();
  CHECK(page.substr(start, end - start) == out.str());
}

// Guards against a process setting that no page describes.
TEST_CASE("docs/settings.md names every key of the settings files") {
  const std::string page = ReadFile("docs/settings.md");
  const std::regex key_text(R"re(file\.\w+\(\s*"([a-z_.]+)")re");
  for (const char* path : {"lib/node/settings.cc", "lib/control/settings.cc",
                           "lib/relay/settings.cc"}) {
    const std::string source = ReadFile(path);
    const std::sregex_iterator first(source.begin(), source.end(), key_text);
    REQUIRE(std::distance(first, std::sregex_iterator()) >= 10);
    std::for_each(first, std::sregex_iterator(), [&](const std::smatch& match) {
      CAPTURE(match[1].str());
      CHECK(page.find("`" + match[1].str() + "`") != std::string::npos);
    });
  }
}

}  // namespace
}  // namespace yuccastair::ctl
