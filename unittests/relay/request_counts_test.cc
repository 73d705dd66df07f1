// Tests the request counts in the summary line of a relay.

#include "request_counts.h"

#include <catch2/catch.hpp>

namespace yuccastair::relay {
namespace {

RelayCall Call(const std::string& route) {
  RelayCall call;
  call.route = route;
  call.service = "s";
  return call;
}

// Guards against a failed request that is counted as rejected, which would
// state that it has not run.
TEST_CASE("requests are counted by the response to their callers") {
  RequestCounts counts;
  counts.RecordRequest(Call("r"), 200, true, "");
  counts.RecordRequest(Call("r"), 404, true, "");
  counts.RecordRequest(Call("r"), 500, true, "");
  counts.RecordRequest(Call("r"), 503, true, "");
  counts.RecordRequest(Call("r"), 503, false, "");
  counts.RecordRequest(Call("r"), 429, false, "");
  counts.RecordRequest(Call("r"), 401, false, "");
  counts.RecordRequest(Call("r"), 502, false, "");
  counts.RecordRequest(Call("r"), 504, false, "");
  counts.RecordRequest(Call("r"), 0, false, "");
  counts.RecordRequest(Call("r"), 200, true, "parent");
  const nlohmann::json list = counts.TakeJson();
  REQUIRE(list.size() == 2);
  CHECK(list[0] == nlohmann::json({{"route", "r"},
                                   {"service", "s"},
                                   {"served", 2},
                                   {"refused", 3},
                                   {"failed", 4},
                                   {"left", 1}}));
  CHECK(list[1]["called_by"] == "parent");
  CHECK(list[1]["served"] == 1);
  CHECK(counts.TakeJson().empty());
}

}  // namespace
}  // namespace yuccastair::relay
