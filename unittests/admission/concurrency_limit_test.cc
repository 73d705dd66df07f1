// Growth of the adaptive concurrency limit.

#include "yuccastair/admission/concurrency_limit.h"

#include <catch2/catch.hpp>

namespace yuccastair::admission {
namespace {

using namespace std::chrono_literals;

// Guards against a small fractional limit that never counts as used: a limit of
// 4.6 allows 4 calls, which are less than 90% of it.
TEST_CASE("a small limit with a fraction grows while latency stays") {
  support::ManualClock clock;
  ConcurrencyLimit limit(clock, {.initial = 32, .min = 1, .max = 100});
  limit.Restart(4.6, 30ms);
  for (int i = 0; i < 3000; ++i) {
    limit.OnStart(limit.limit());
    clock.Advance(30ms / limit.limit());
    limit.OnFinish({clock.Now() - 30ms, 30ms, false, false});
  }
  CHECK(limit.limit() > 4);
}

}  // namespace
}  // namespace yuccastair::admission
