// How the cold-start ramp distinguishes a cold target from a saturated one.

#include "yuccastair/admission/cold_ramp.h"

#include <catch2/catch.hpp>

namespace yuccastair::admission {
namespace {

using namespace std::chrono_literals;

class RampFixture {
 protected:
  /// Simulates one window in which every call takes \p latency.
  void SimulateWindow(support::Duration latency, bool failed = false) {
    for (int i = 0; i < 20; ++i) {
      const support::TimePoint started = clock_.Now();
      clock_.Advance(10ms);
      ramp_.OnFinish({started, latency, failed, false});
    }
  }

  support::ManualClock clock_;
  ColdRamp ramp_{clock_, {4, 10s}};
};

// Guards against a limit that grows while calls queue in the target, because a
// latency jump caused by overload is assumed to be a cold start.
TEST_CASE_METHOD(RampFixture, "a suspected target that is slow is saturated") {
  ramp_.Start(30ms, true);
  SimulateWindow(30ms);
  CHECK(ramp_.overload() == 0);
  SimulateWindow(75ms);
  CHECK(ramp_.overload() == Approx(2.5));
}

TEST_CASE_METHOD(RampFixture, "a cold target that is slow is not saturated") {
  ramp_.Start(30ms, false);
  SimulateWindow(30ms);
  SimulateWindow(75ms);
  CHECK(ramp_.overload() == 0);
  CHECK(ramp_.active());
}

TEST_CASE_METHOD(RampFixture, "failures confirm a suspicion") {
  ramp_.Start(30ms, true);
  SimulateWindow(30ms);
  SimulateWindow(75ms, true);
  CHECK(ramp_.overload() == 0);
  CHECK(ramp_.active());
}

}  // namespace
}  // namespace yuccastair::admission
