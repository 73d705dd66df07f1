// Guards against a stand-in target that does not show overload and cold start
// as experiments assume.

#include "service_model.h"

#include <catch2/catch.hpp>

namespace yuccastair::rig {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

ServiceModelOptions Fixed() {
  ServiceModelOptions options;
  options.slots = 10;
  options.mean = microseconds(1000);
  options.distribution = "fixed";
  options.overload_power = 2;
  return options;
}

TEST_CASE("service time grows only beyond the slots") {
  ServiceModel model(Fixed());
  const ModelTime now{milliseconds(1)};
  for (int i = 0; i < 10; ++i)
    CHECK(model.Begin(now) == microseconds(1000));
  for (int i = 0; i < 9; ++i)
    model.Begin(now);
  CHECK(model.Begin(now) == microseconds(4000));
}

TEST_CASE("a cold target warms under a load that it can handle") {
  ServiceModelOptions options = Fixed();
  options.starts_cold = true;
  options.warm_time = milliseconds(1000);
  ServiceModel model(options);
  ModelTime now{milliseconds(1)};
  CHECK(model.effective_slots() == 1);
  for (int i = 0; i < 1100; ++i) {
    model.Begin(now);
    now += milliseconds(1);
    model.End(now);
  }
  CHECK_FALSE(model.cold());
  CHECK(model.effective_slots() == 10);
}

TEST_CASE("a cold target under a full load collapses until it is taken away") {
  ServiceModelOptions options = Fixed();
  options.starts_cold = true;
  ServiceModel model(options);
  ModelTime now{milliseconds(1)};
  for (int i = 0; i < 10; ++i)
    model.Begin(now);
  CHECK(model.collapsed());
  now += milliseconds(60000);
  for (int i = 0; i < 8; ++i)
    model.End(now);
  CHECK(model.collapsed());
  model.End(now);
  CHECK_FALSE(model.collapsed());
  CHECK(model.cold());
}

}  // namespace
}  // namespace yuccastair::rig
