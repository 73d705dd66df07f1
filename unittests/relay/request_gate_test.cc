// Tests which requests a stopping relay still takes.

#include "request_gate.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>

namespace yuccastair::relay {
namespace {

using Origin = RequestGate::Origin;

constexpr support::TimePoint kEnd{std::chrono::seconds(10)};
constexpr std::chrono::milliseconds kInstant{1};

TEST_CASE("a stopping relay takes only the calls that its requests need") {
  RequestGate gate;
  gate.SetLatestDeadline(kEnd);
  const auto late = kEnd + kInstant;
  CHECK(gate.Enter("r", Origin::kCaller, late));
  CHECK(gate.Enter("r", Origin::kTargetCall, late));
  CHECK(gate.Enter("r", Origin::kRelay, late));
  gate.Close();
  CHECK_FALSE(gate.Enter("r", Origin::kCaller, kEnd));
  CHECK_FALSE(gate.Enter("r", Origin::kRelay, kEnd));
  CHECK(gate.Enter("r", Origin::kTargetCall, kEnd));
  CHECK(gate.refused(Origin::kCaller) == 1);
  CHECK(gate.refused(Origin::kTargetCall) == 0);
  CHECK(gate.refused(Origin::kRelay) == 1);
}

TEST_CASE("a stopping relay takes no call that may outlast it") {
  RequestGate gate;
  gate.Close();
  CHECK(gate.Enter("r", Origin::kTargetCall, kEnd + kInstant));
  gate.SetLatestDeadline(kEnd);
  CHECK_FALSE(gate.Enter("r", Origin::kTargetCall, kEnd + kInstant));
  CHECK(gate.refused(Origin::kTargetCall) == 1);
}

// Guards against accepted requests that wait until the relay has ended.
TEST_CASE("the end of waits reaches the requests inside and later ones") {
  RequestGate gate;
  Cancellation waiting;
  Cancellation running;
  Cancellation later;
  int refused = 0;
  const auto first = gate.Enter("r", Origin::kCaller, kEnd);
  first->SetCancellation(waiting);
  waiting.SetWaitHandler([&refused] { ++refused; });
  const auto second = gate.Enter("r", Origin::kRelay, kEnd);
  second->SetCancellation(running);
  const auto unread = gate.Enter("r", Origin::kCaller, kEnd);
  gate.EndWaits();
  CHECK(refused == 1);
  CHECK(running.wait_ended());
  CHECK_FALSE(running.requested());
  unread->SetCancellation(later);
  later.SetWaitHandler([&refused] { ++refused; });
  CHECK(refused == 2);
}

TEST_CASE("requests count until they are answered, also after the gate's end") {
  auto gate = std::make_unique<RequestGate>();
  auto first = gate->Enter("a", Origin::kCaller, kEnd);
  const auto second = gate->Enter("a", Origin::kRelay, kEnd);
  const auto third = gate->Enter("b", Origin::kCaller, kEnd);
  gate->Close();
  CHECK_FALSE(gate->Enter("c", Origin::kCaller, kEnd));
  CHECK(gate->inside() == RequestGate::RouteCounts{{"a", 2}, {"b", 1}});
  first.reset();
  CHECK(gate->inside() == RequestGate::RouteCounts{{"a", 1}, {"b", 1}});
  gate.reset();
}

}  // namespace
}  // namespace yuccastair::relay
