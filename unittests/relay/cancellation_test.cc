// Tests the notification that a caller has disconnected.

#include <catch2/catch.hpp>

#include "call.h"

namespace yuccastair::relay {
namespace {

TEST_CASE("a request calls the handler once") {
  Cancellation cancellation;
  int calls = 0;
  cancellation.SetHandler([&] { ++calls; });
  cancellation.Request();
  cancellation.Request();
  CHECK(calls == 1);
}

// Guards against work for a caller that disconnected before the call reached
// the next stage: that stage waited for a notification that had already been
// sent.
TEST_CASE("a handler that is set after the request is called at once") {
  Cancellation cancellation;
  cancellation.Request();
  int calls = 0;
  cancellation.SetHandler([&] { ++calls; });
  CHECK(calls == 1);
}

TEST_CASE("a cleared handler is not called") {
  Cancellation cancellation;
  int calls = 0;
  cancellation.SetHandler([&] { ++calls; });
  cancellation.ClearHandlers();
  cancellation.Request();
  CHECK(calls == 0);
  CHECK(cancellation.requested());
}

// Guards against work for a caller whose disconnection is known to the kernel
// but queued behind other events of a relay under load.
TEST_CASE("a check detects that the caller has disconnected") {
  Cancellation cancellation;
  CHECK_FALSE(cancellation.CheckCaller());
  bool gone = false;
  int calls = 0;
  cancellation.SetDisconnectCheck([&] { return gone; });
  cancellation.SetHandler([&] { ++calls; });
  CHECK_FALSE(cancellation.CheckCaller());
  gone = true;
  CHECK(cancellation.CheckCaller());
  CHECK(cancellation.requested());
  CHECK(calls == 1);
}

}  // namespace
}  // namespace yuccastair::relay
