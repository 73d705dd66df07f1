// Throttling of requests whose calls are rejected for reasons that fewer
// requests may or may not end.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "yuccastair/admission/call_throttle.h"

namespace yuccastair::admission {
namespace {

using namespace std::chrono_literals;

constexpr double kRequestsPerSecond = 70;
constexpr int kCallsPerRequest = 4;
constexpr auto kStep = 50ms;
constexpr std::size_t kOutcomeDelaySteps = 6;

/// A service that rejects a part of its calls at any load, and those beyond its
/// capacity.
struct DeepService {
  double rejected_at_any_load = 0;
  double calls_per_second = 1e6;
};

constexpr DeepService kSound;
constexpr DeepService kRejecting{.rejected_at_any_load = 0.53};
constexpr DeepService kShort{.calls_per_second = 140};
constexpr DeepService kRejectingAndShort{.rejected_at_any_load = 0.3,
                                         .calls_per_second = 100};

struct Counts {
  int sent = 0;
  int served = 0;
  int failed = 0;
};

/// Sends requests of one route, each of which needs several calls in a row.
class ThrottledRoute {
 public:
  ThrottledRoute(bool throttled, std::uint64_t seed)
      : throttled_(throttled), random_(seed), pending_(kOutcomeDelaySteps) {}

  Counts RunFor(std::chrono::milliseconds time, const DeepService& service) {
    Counts counts;
    for (auto passed = 0ms; passed < time; passed += kStep)
      Step(service, counts);
    return counts;
  }

 private:
  void Step(const DeepService& service, Counts& counts) {
    clock_.Advance(kStep);
    auto& due = pending_[step_++ % kOutcomeDelaySteps];
    for (const DownstreamOutcome outcome : due)
      throttle_.OnRequestEnd("r", outcome);
    due.clear();
    const double seconds = std::chrono::duration<double>(kStep).count();
    const int arrivals =
        std::poisson_distribution<int>(kRequestsPerSecond * seconds)(random_);
    int admitted = 0;
    for (int i = 0; i < arrivals; ++i)
      admitted += !throttled_ || throttle_.Admit("r", wire::IMPORTANCE_NORMAL);
    counts.sent += arrivals;
    std::bernoulli_distribution passes(
        PassingShare(service, admitted, service.calls_per_second * seconds));
    for (int i = 0; i < admitted; ++i) {
      bool served = true;
      for (int call = 0; served && call < kCallsPerRequest; ++call)
        served = passes(random_);
      ++(served ? counts.served : counts.failed);
      due.push_back(served ? DownstreamOutcome::kServed
                           : DownstreamOutcome::kRejected);
    }
  }

  /// Returns the share of the calls that is served. A request whose call is
  /// rejected makes no further ones.
  static double PassingShare(const DeepService& service,
                             int requests,
                             double capacity) {
    constexpr int kIterations = 20;
    const double accepted = 1 - service.rejected_at_any_load;
    double passing = accepted;
    for (int i = 0; i < kIterations; ++i) {
      double calls = 0;
      double reached = requests;
      for (int call = 0; call < kCallsPerRequest; ++call) {
        calls += reached;
        reached *= passing;
      }
      const double wanted = calls * accepted;
      const double next =
          wanted <= capacity ? accepted : accepted * capacity / wanted;
      passing = (passing + next) / 2;
    }
    return passing;
  }

  const bool throttled_;
  support::ManualClock clock_;
  CallThrottle throttle_{clock_};
  std::mt19937_64 random_;
  std::vector<std::vector<DownstreamOutcome>> pending_;
  std::size_t step_ = 0;
};

Counts UnthrottledFor(std::chrono::milliseconds time,
                      const DeepService& service,
                      std::uint64_t seed) {
  return ThrottledRoute(false, seed).RunFor(time, service);
}

/// Checks that most of the requests that succeed without the throttle succeed
/// with it.
void CheckKeepsSuccesses(ThrottledRoute& route,
                         std::chrono::seconds time,
                         const DeepService& service,
                         std::uint64_t seed) {
  const Counts throttled = route.RunFor(time, service);
  const Counts unthrottled = UnthrottledFor(time, service, seed);
  CAPTURE(seed, throttled.served, unthrottled.served);
  CHECK(throttled.served > 0.6 * unthrottled.served);
}

/// Checks that a service that is short of room loses few calls to requests that
/// fail.
void CheckRelievesShortage(ThrottledRoute& route,
                           std::chrono::seconds time,
                           std::uint64_t seed) {
  const Counts throttled = route.RunFor(time, kShort);
  const Counts unthrottled = UnthrottledFor(time, kShort, seed);
  CAPTURE(seed, throttled.served, throttled.failed, unthrottled.served,
          unthrottled.failed);
  CHECK(throttled.served >
        0.5 * time.count() * kShort.calls_per_second / kCallsPerRequest);
  CHECK(throttled.failed < 0.4 * unthrottled.failed);
}

// Guards against a throttle that stays at its least share to no effect.
TEST_CASE("requests are not held back where fewer of them do not help") {
  const auto seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{9}));
  ThrottledRoute route(true, seed);
  CheckKeepsSuccesses(route, 60s, kRejecting, seed);
}

TEST_CASE("requests are held back where fewer of them help") {
  const auto seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{9}));
  ThrottledRoute route(true, seed);
  CheckRelievesShortage(route, 60s, seed);
}

TEST_CASE("a shortage beside rejections at any load serves no less") {
  const auto seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{9}));
  ThrottledRoute route(true, seed);
  CheckKeepsSuccesses(route, 60s, kRejectingAndShort, seed);
}

// Guards against a throttle that keeps to what it found in an earlier fault.
TEST_CASE("the throttle follows a service whose fault changes") {
  const auto seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{9}));
  ThrottledRoute route(true, seed);
  route.RunFor(20s, kRejecting);
  route.RunFor(10s, kShort);
  CheckRelievesShortage(route, 30s, seed);
  route.RunFor(10s, kRejecting);
  CheckKeepsSuccesses(route, 30s, kRejecting, seed);
  route.RunFor(2s, kSound);
  const Counts sound = route.RunFor(10s, kSound);
  CAPTURE(seed);
  CHECK(sound.served == sound.sent);
}

constexpr auto kRejectedWithFreeSlots =
    DownstreamOutcome::kRejectedWithFreeSlots;

/// Ends \p count requests, 10 ms apart, whose calls of "deep" end with \p
/// outcome.
void EndRequests(support::ManualClock& clock,
                 CallThrottle& throttle,
                 int count,
                 DownstreamOutcome outcome,
                 RequestKind kind) {
  for (int i = 0; i < count; ++i) {
    clock.Advance(10ms);
    throttle.OnCallEnd("r", "deep", outcome);
    throttle.OnRequestEnd("r", outcome, "", kind);
  }
}

// Guards against holding back repeatable requests that would succeed.
TEST_CASE("rejections with free slots throttle unrepeatable requests only") {
  support::ManualClock clock;
  CallThrottle repeatable(clock);
  EndRequests(clock, repeatable, 400, kRejectedWithFreeSlots,
              RequestKind::kRepeatable);
  CHECK(repeatable.AdmittedShare("r") == 1);
  CallThrottle unrepeatable(clock);
  EndRequests(clock, unrepeatable, 400, kRejectedWithFreeSlots,
              RequestKind::kUnrepeatable);
  CHECK(unrepeatable.AdmittedShare("r") < 0.1);
  CHECK(unrepeatable.ReductionCause("r") == kRejectedWithFreeSlots);
}

// Guards against requests that are held back for seconds after a fault.
TEST_CASE("calls of other requests show that rejections are over") {
  support::ManualClock clock;
  CallThrottle throttle(clock);
  EndRequests(clock, throttle, 400, kRejectedWithFreeSlots,
              RequestKind::kUnrepeatable);
  for (std::uint32_t i = 0; i < CallThrottle::kServedCallsOfRecovery; ++i) {
    CHECK(throttle.AdmittedShare("r") < 1);
    throttle.OnCallEnd("other", "deep", DownstreamOutcome::kServed);
  }
  CHECK(throttle.Admit("r", wire::IMPORTANCE_NORMAL));
  CHECK(throttle.AdmittedShare("r") == 1);
}

// Guards against a route that the calls of other requests keep restoring.
TEST_CASE("a route is not restored again at once") {
  support::ManualClock clock;
  CallThrottle throttle(clock);
  for (const bool restored : {true, false}) {
    EndRequests(clock, throttle, 200, kRejectedWithFreeSlots,
                RequestKind::kUnrepeatable);
    for (std::uint32_t i = 0; i < CallThrottle::kServedCallsOfRecovery; ++i)
      throttle.OnCallEnd("other", "deep", DownstreamOutcome::kServed);
    throttle.Admit("r", wire::IMPORTANCE_NORMAL);
    CHECK((throttle.AdmittedShare("r") == 1) == restored);
  }
}

// Guards against an overload that returns with each call that is served.
TEST_CASE("served calls do not end the throttling of a shortage") {
  support::ManualClock clock;
  CallThrottle throttle(clock);
  EndRequests(clock, throttle, 400, DownstreamOutcome::kNoCapacity,
              RequestKind::kUnrepeatable);
  for (std::uint32_t i = 0; i < CallThrottle::kServedCallsOfRecovery; ++i)
    throttle.OnCallEnd("other", "deep", DownstreamOutcome::kServed);
  throttle.Admit("r", wire::IMPORTANCE_NORMAL);
  CHECK(throttle.AdmittedShare("r") < 0.2);
}

}  // namespace
}  // namespace yuccastair::admission
