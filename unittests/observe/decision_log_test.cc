// The decision log: found by request, bounded, oldest displaced first.

#include "yuccastair/observe/decision_log.h"

#include <catch2/catch.hpp>

namespace yuccastair::observe {
namespace {

Decision Make(const std::string& request, const std::string& step) {
  Decision decision;
  decision.request_id = request;
  decision.step = step;
  return decision;
}

TEST_CASE("the decisions about a request come back in order") {
  DecisionLog log;
  log.Record(Make("r1", "routing"));
  log.Record(Make("r2", "rate"));
  log.Record(Make("r1", "admission"));
  const auto found = log.Explain("r1");
  REQUIRE(found.size() == 2);
  CHECK(found[0].step == "routing");
  CHECK(found[1].step == "admission");
}

TEST_CASE("the log never grows beyond its capacity") {
  DecisionLog log(2);
  log.Record(Make("r1", "rate"));
  log.Record(Make("r2", "rate"));
  log.Record(Make("r3", "rate"));
  CHECK(log.size() == 2);
  CHECK(log.Explain("r1").empty());
  CHECK(log.Explain("r3").size() == 1);
}

}  // namespace
}  // namespace yuccastair::observe
