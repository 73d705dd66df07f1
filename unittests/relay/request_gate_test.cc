// Tests which requests a stopping relay still takes.

#include "request_gate.h"

#include <catch2/catch.hpp>

namespace yuccastair::relay {
namespace {

using Origin = RequestGate::Origin;
using State = RequestGate::State;

TEST_CASE("a stopping relay takes only the calls that its requests need") {
  RequestGate gate;
  CHECK(gate.Enter("r", Origin::kCaller));
  CHECK(gate.Enter("r", Origin::kTargetCall));
  CHECK(gate.Enter("r", Origin::kRelay));
  gate.SetState(State::kTargetCallsOnly);
  CHECK_FALSE(gate.Enter("r", Origin::kCaller));
  CHECK(gate.Enter("r", Origin::kTargetCall));
  CHECK_FALSE(gate.Enter("r", Origin::kRelay));
  gate.SetState(State::kClosed);
  CHECK_FALSE(gate.Enter("r", Origin::kTargetCall));
  CHECK(gate.refused(Origin::kCaller) == 1);
  CHECK(gate.refused(Origin::kTargetCall) == 1);
  CHECK(gate.refused(Origin::kRelay) == 1);
}

TEST_CASE("requests count until they are answered, also after the gate's end") {
  auto gate = std::make_unique<RequestGate>();
  auto first = gate->Enter("a", Origin::kCaller);
  const auto second = gate->Enter("a", Origin::kRelay);
  const auto third = gate->Enter("b", Origin::kCaller);
  gate->SetState(State::kClosed);
  CHECK_FALSE(gate->Enter("c", Origin::kCaller));
  CHECK(gate->inside() == RequestGate::RouteCounts{{"a", 2}, {"b", 1}});
  first.reset();
  CHECK(gate->inside() == RequestGate::RouteCounts{{"a", 1}, {"b", 1}});
  gate.reset();
}

}  // namespace
}  // namespace yuccastair::relay
