// Commands that work on files alone.

#include <catch2/catch.hpp>
#include <filesystem>
#include <sstream>

#include "yuccastair/ctl/ctl.h"

namespace yuccastair::ctl {
namespace {

// Guards against commands on logs that ask for the address of a control
// process, which may be down when the logs are read.
TEST_CASE("commands on logs need no control process") {
  const auto log = std::filesystem::path(__FILE__).parent_path() / "golden" /
                   "summaries.log";
  std::ostringstream out;
  CHECK(Run({"timeline", "--log", log.string()}, {out, out, nullptr, ""}) ==
        kSuccess);
  CHECK(Run({"explain", "r7", "--log", log.string()},
            {out, out, nullptr, ""}) == kSuccess);
}

}  // namespace
}  // namespace yuccastair::ctl
