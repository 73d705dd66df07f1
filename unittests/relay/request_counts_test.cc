// What the summary line of a relay says of ended requests.

#include "request_counts.h"

#include <catch2/catch.hpp>

namespace yuccastair::relay {
namespace {

RelayCall Call(const std::string& route, std::uint32_t depth) {
  RelayCall call;
  call.route = route;
  call.service = "s";
  call.depth = depth;
  return call;
}

// Guards against a failed request that is shown as refused, which would say
// that it has not run.
TEST_CASE("requests are counted by what their callers got") {
  RequestCounts counts;
  counts.Count(Call("r", 1), 200, true);
  counts.Count(Call("r", 1), 404, true);
  counts.Count(Call("r", 1), 500, true);
  counts.Count(Call("r", 1), 503, true);
  counts.Count(Call("r", 1), 503, false);
  counts.Count(Call("r", 1), 429, false);
  counts.Count(Call("r", 1), 401, false);
  counts.Count(Call("r", 1), 502, false);
  counts.Count(Call("r", 1), 504, false);
  counts.Count(Call("r", 1), 0, false);
  counts.Count(Call("r", 2), 200, true);
  const nlohmann::json list = counts.Take();
  REQUIRE(list.size() == 2);
  CHECK(list[0] == nlohmann::json({{"route", "r"},
                                   {"service", "s"},
                                   {"served", 2},
                                   {"refused", 3},
                                   {"failed", 4},
                                   {"left", 1}}));
  CHECK(list[1]["call"] == true);
  CHECK(list[1]["served"] == 1);
  CHECK(counts.Take().empty());
}

}  // namespace
}  // namespace yuccastair::relay
