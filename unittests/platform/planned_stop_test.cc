// A relay is stopped as planned while callers go on using it.

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "stopping_relay.h"

namespace yuccastair {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
namespace asio = stream::asio;

constexpr int kStopped = StoppingRelay::kStopped;
constexpr milliseconds kServiceTime = StoppingRelay::kServiceTime;
constexpr const char* kLongRequest = StoppingRelay::kLongRequest;
// Others notice within this time that a relay is leaving.
constexpr milliseconds kDepartureNoticeTime{2500};
// A request that begins so late cannot end before the process has to.
constexpr milliseconds kTooLate{4400};
// The notice, a request and a margin.
constexpr milliseconds kMaxStopTime{4500};

TEST_CASE("a stopping relay cuts no request of callers that never pause") {
  constexpr int kCallers = 12;
  StoppingRelay system(0);
  for (int i = 0; i < kCallers; ++i)
    system.StartCaller(kStopped);
  system.RunFor(kServiceTime);
  system.Stop();
  const milliseconds stop_time = system.AwaitEnd();
  system.FinishCallers();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(stop_time < kMaxStopTime);
  CHECK(system.ended_well());
  CHECK(system.CountAnswers(200) > kCallers);
  CHECK(system.CountAnswers(503) > 0);
}

TEST_CASE("a stopping relay cuts no request on a connection that was idle") {
  StoppingRelay system(1);
  const auto idle = system.OpenConnection();
  system.SendInPieces(idle, 0ms);
  system.RunFor(2 * kServiceTime);
  REQUIRE(system.CountAnswers(200) == 1);
  const auto accepted = system.SendOnce(kLongRequest);
  system.RunFor(100ms);
  system.Stop();
  system.RunUntil(kTooLate);
  system.SendInPieces(idle, 0ms);
  system.AwaitEnd();
  system.FinishCallers();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(accepted->answer.status == 200);
}

TEST_CASE("a stopping relay cuts no request that crosses the close") {
  StoppingRelay system(2);
  const auto accepted = system.SendOnce(kLongRequest);
  system.RunFor(100ms);
  std::vector<milliseconds> times;
  for (milliseconds time = kDepartureNoticeTime - 100ms;
       time < kDepartureNoticeTime + 100ms; time += 2ms)
    times.push_back(time);
  for (milliseconds time = kTooLate - 200ms; time < kTooLate + 500ms;
       time += 20ms)
    times.push_back(time);
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets;
  for (std::size_t i = 0; i < times.size(); ++i)
    sockets.push_back(system.OpenConnection());
  system.Stop();
  for (std::size_t i = 0; i < times.size(); ++i) {
    system.RunUntil(times[i]);
    system.SendInPieces(sockets[i], i % 2 == 0 ? 0ms : 40ms);
  }
  system.AwaitEnd();
  system.FinishCallers();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(accepted->answer.status == 200);
}

TEST_CASE("a stopping relay cuts no call of a relay that knows nothing of it") {
  constexpr int kOther = 1;
  // More than the other relay's own target serves at once.
  constexpr int kCallers = 30;
  StoppingRelay system(3);
  for (int i = 0; i < kCallers; ++i)
    system.StartCaller(kOther);
  system.RunFor(kServiceTime);
  system.FreezeControl();
  system.Stop();
  const milliseconds stop_time = system.AwaitEnd();
  system.FinishCallers();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(stop_time < kMaxStopTime);
  CHECK(system.CallsAtStopped() > kCallers);
}

TEST_CASE("a stopping relay serves the calls of the requests it has accepted") {
  StoppingRelay system(4);
  const auto accepted = system.SendOnce(kLongRequest);
  system.RunFor(100ms);
  system.Stop();
  system.RunUntil(kDepartureNoticeTime + 700ms);
  const auto other = system.SendOnce("other");
  system.SetDeadline(1500ms);
  const auto call = system.SendOnce(std::string(kLongRequest) + ".1");
  system.AwaitEnd();
  system.FinishCallers();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(accepted->answer.status == 200);
  CHECK(call->answer.status == 200);
  CHECK(other->answer.status == 503);
}

TEST_CASE("a stopping relay cuts no call that comes too late to end") {
  StoppingRelay system(5);
  const auto accepted = system.SendOnce(kLongRequest);
  system.RunFor(100ms);
  system.Stop();
  system.RunUntil(kTooLate);
  const auto call = system.SendOnce(std::string(kLongRequest) + ".1");
  system.AwaitEnd();
  system.FinishCallers();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(accepted->answer.status == 200);
  CHECK(call->answer.status == 503);
}

TEST_CASE("a relay with little time to stop cuts no request either") {
  constexpr int kCallers = 12;
  StoppingRelay::Options options;
  options.shutdown_timeout = 3200ms;
  StoppingRelay system(6, options);
  for (int i = 0; i < kCallers; ++i)
    system.StartCaller(kStopped);
  system.RunFor(kServiceTime);
  system.Stop();
  system.AwaitEnd();
  system.FinishCallers();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(system.ended_well());
}

}  // namespace
}  // namespace yuccastair
