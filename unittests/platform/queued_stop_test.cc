// A relay is stopped as planned while requests wait for a slot.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "stopping_relay.h"

namespace yuccastair {
namespace {

using namespace std::chrono_literals;

// More than a target takes at once; none of them ends before the relay does.
constexpr int kRequests = 40;

StoppingRelay::Options SlowTargetAt(int relay) {
  StoppingRelay::Options options;
  options.first_port = SoakLayout::kQueuedStopPorts;
  options.request_deadline = 30s;
  options.objective = 28s;
  options.service_time = 9s;
  options.with_target = {relay};
  return options;
}

// Guards against accepted requests that get no answer because they still wait
// when their relay ends.
void CheckThatWaitingRequestsAreRefused(std::uint64_t ports, int target) {
  StoppingRelay system(ports, SlowTargetAt(target));
  for (int i = 0; i < kRequests; ++i)
    system.SendOnce("r" + std::to_string(i));
  system.RunFor(300ms);
  system.Stop();
  system.AwaitEnd();
  system.RunFor(200ms);
  CHECK(system.UnansweredRequests() == std::vector<std::string>());
  CHECK(system.CountAnswers(503) > 0);
  CHECK(system.ended_well());
}

TEST_CASE("a stopping relay refuses what waits for its own target") {
  CheckThatWaitingRequestsAreRefused(0, StoppingRelay::kStopped);
}

TEST_CASE("a stopping relay refuses what waits at another relay") {
  CheckThatWaitingRequestsAreRefused(1, StoppingRelay::kStopped + 1);
}

}  // namespace
}  // namespace yuccastair
