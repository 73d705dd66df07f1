// Tests the table of running calls, the peer heartbeats and the receive gap.

#include "running_calls.h"

#include <catch2/catch.hpp>

#include "call_reply.h"
#include "peer_health.h"
#include "receive_gap.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

wire::CallReply ReplyWithUnused(std::uint32_t attempts) {
  wire::CallReply reply;
  reply.set_unused_attempts(attempts);
  return reply;
}

// Guards against a budget that is copied to each call of a target.
TEST_CASE("child calls share the attempts of their request") {
  RunningCalls calls;
  const std::string token = calls.Add({}, 6);
  const auto first = calls.BeginChildCall(token, 1);
  const auto second = calls.BeginChildCall(token, 2);
  CHECK(first.attempts == 3);
  CHECK(second.attempts == 1);
  calls.EndChildCall(token, 1, first, ReplyWithUnused(3));
  calls.EndChildCall(token, 2, second, ReplyWithUnused(0));
  CHECK(calls.Remove(token) == 5);
}

// Guards against a target that resends its calls without limit.
TEST_CASE("a target's resends are charged") {
  RunningCalls calls;
  const std::string token = calls.Add({}, 2);
  for (int i = 0; i < 3; ++i) {
    const auto grant = calls.BeginChildCall(token, 7);
    CHECK(grant.allowed);
    calls.EndChildCall(token, 7, grant, ReplyWithUnused(grant.attempts));
  }
  CHECK_FALSE(calls.BeginChildCall(token, 7).allowed);
  CHECK(calls.BeginChildCall(token, 8).allowed);
  CHECK_FALSE(calls.BeginChildCall("other", 8).allowed);
}

TEST_CASE("a resend to an overloaded service is rejected") {
  RunningCalls calls;
  const std::string token = calls.Add({}, 10);
  const auto grant = calls.BeginChildCall(token, 7);
  wire::CallReply overloaded = NotRunReply("admission", "full");
  overloaded.set_service_overloaded(true);
  overloaded.set_unused_attempts(grant.attempts);
  calls.EndChildCall(token, 7, grant, overloaded);
  CHECK_FALSE(calls.BeginChildCall(token, 7).allowed);
  CHECK(calls.Remove(token) == 10);
}

// Guards against pings to nodes without outstanding calls, and against
// considering a node silent because of a slow call.
TEST_CASE("only nodes with outstanding calls are pinged") {
  support::ManualClock clock;
  PeerHealth health(clock, {milliseconds(200), milliseconds(1000)});
  clock.Advance(milliseconds(5000));
  CHECK(health.Tick().ping_addresses.empty());
  health.OnCallStart("a");
  CHECK(health.Tick().ping_addresses.empty());
  for (int i = 0; i < 20; ++i) {
    clock.Advance(milliseconds(200));
    CHECK(health.Tick().ping_addresses.size() == 1);
    health.OnReceive("a");
  }
  CHECK_FALSE(health.IsSilent("a"));
  health.OnCallEnd("a");
  clock.Advance(milliseconds(5000));
  CHECK(health.Tick().ping_addresses.empty());
}

TEST_CASE("a node that replies to no ping is silent until it replies") {
  support::ManualClock clock;
  PeerHealth health(clock, {milliseconds(200), milliseconds(1000)});
  health.OnCallStart("a");
  std::size_t silent = 0;
  for (int i = 0; i < 10; ++i) {
    clock.Advance(milliseconds(200));
    silent += health.Tick().silent_addresses.size();
  }
  CHECK(silent == 1);
  CHECK(health.IsSilent("a"));
  health.OnReceive("a");
  CHECK_FALSE(health.IsSilent("a"));
}

// Guards against considering other nodes silent after this process was
// suspended.
TEST_CASE("a node is not silent before a ping was due and sent") {
  support::ManualClock clock;
  PeerHealth health(clock, {milliseconds(200), milliseconds(1000)});
  health.OnCallStart("a");
  clock.Advance(milliseconds(60000));
  CHECK(health.Tick().silent_addresses.empty());
  CHECK_FALSE(health.IsSilent("a"));
}

TEST_CASE("a gap of the receive loop counts as waiting time") {
  support::ManualClock clock;
  ReceiveGap gap;
  CHECK(gap.MaxSocketDelay(clock.Now()) == support::Duration{});
  gap.OnLoopIteration(clock.Now());
  clock.Advance(milliseconds(20));
  CHECK(gap.MaxSocketDelay(clock.Now()) == support::Duration{});
  gap.OnLoopIteration(clock.Now());
  clock.Advance(milliseconds(9000));
  CHECK(gap.MaxSocketDelay(clock.Now()) == milliseconds(9000));
  // Messages read in the next iterations may have waited as long.
  gap.OnLoopIteration(clock.Now());
  clock.Advance(milliseconds(20));
  CHECK(gap.MaxSocketDelay(clock.Now()) == milliseconds(9000));
  for (int i = 0; i < 24; ++i) {
    gap.OnLoopIteration(clock.Now());
    clock.Advance(milliseconds(20));
  }
  CHECK(gap.MaxSocketDelay(clock.Now()) == support::Duration{});
}

}  // namespace
}  // namespace yuccastair::node
