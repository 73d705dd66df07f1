// The signal that a caller has left.

#include <catch2/catch.hpp>

#include "call.h"

namespace yuccastair::relay {
namespace {

TEST_CASE("a request calls the hook once") {
  Cancellation cancellation;
  int calls = 0;
  cancellation.SetHook([&] { ++calls; });
  cancellation.Request();
  cancellation.Request();
  CHECK(calls == 1);
}

// Guards against work for a caller that left before the call came to the next
// stage: that stage waited for a signal that had been given already.
TEST_CASE("a hook that is set after the request is called at once") {
  Cancellation cancellation;
  cancellation.Request();
  int calls = 0;
  cancellation.SetHook([&] { ++calls; });
  CHECK(calls == 1);
}

TEST_CASE("a cleared hook is not called") {
  Cancellation cancellation;
  int calls = 0;
  cancellation.SetHook([&] { ++calls; });
  cancellation.ClearHook();
  cancellation.Request();
  CHECK(calls == 0);
  CHECK(cancellation.requested());
}

// Guards against work for a caller whose leaving is known to the system but
// waits behind other events of a relay under load.
TEST_CASE("a check asks whether the caller has left") {
  Cancellation cancellation;
  CHECK_FALSE(cancellation.Check());
  bool gone = false;
  int calls = 0;
  cancellation.SetProbe([&] { return gone; });
  cancellation.SetHook([&] { ++calls; });
  CHECK_FALSE(cancellation.Check());
  gone = true;
  CHECK(cancellation.Check());
  CHECK(cancellation.requested());
  CHECK(calls == 1);
}

}  // namespace
}  // namespace yuccastair::relay
