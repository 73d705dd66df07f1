// The cold-start ramp: what it takes for cold and what for full.

#include "yuccastair/admission/cold_ramp.h"

#include <catch2/catch.hpp>

namespace yuccastair::admission {
namespace {

using namespace std::chrono_literals;

class RampFixture {
 protected:
  /// Lets a window pass in which every call takes \p latency.
  void Window(support::Duration latency, bool failed = false) {
    for (int i = 0; i < 20; ++i) {
      const support::TimePoint started = clock_.Now();
      clock_.Advance(10ms);
      ramp_.OnFinish({started, latency, failed, false});
    }
  }

  support::ManualClock clock_;
  ColdRamp ramp_{clock_, {4, 10s}};
};

// Guards against a limit that grows while calls queue in the target, because
// the jump of latency by an overload was taken for a cold start.
TEST_CASE_METHOD(RampFixture, "a suspected target that struggles is full") {
  ramp_.Start(30ms, true);
  Window(30ms);
  CHECK(ramp_.overload() == 0);
  Window(75ms);
  CHECK(ramp_.overload() == Approx(2.5));
}

TEST_CASE_METHOD(RampFixture, "a cold target that struggles is not full yet") {
  ramp_.Start(30ms, false);
  Window(30ms);
  Window(75ms);
  CHECK(ramp_.overload() == 0);
  CHECK(ramp_.active());
}

TEST_CASE_METHOD(RampFixture, "failures confirm a suspicion") {
  ramp_.Start(30ms, true);
  Window(30ms);
  Window(75ms, true);
  CHECK(ramp_.overload() == 0);
  CHECK(ramp_.active());
}

}  // namespace
}  // namespace yuccastair::admission
