// A node is stopped as planned while callers and other nodes go on using it.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http/raw_socket.h"
#include "process_fleet.h"

namespace yuccastair {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kStopped = 0;
constexpr int kOther = 1;
constexpr milliseconds kServiceTime{600};
// A request whose id begins so takes kLongServiceTime.
constexpr char kLong[] = "long";
constexpr milliseconds kLongServiceTime{4500};
// A request whose id begins so makes a call after kNestedCallTime.
constexpr char kNested[] = "nested";
constexpr milliseconds kNestedCallTime{2300};
constexpr milliseconds kShutdownTimeout{6000};
// Other nodes notice within this time that a node is leaving.
constexpr milliseconds kLeaveNoticeTime{1500};
// Before the end of a request that is sent at the stop with kLongServiceTime.
constexpr milliseconds kLateTime{4200};
// The notice, the longest request and a margin.
constexpr milliseconds kMaxStopTime{4500};

struct Answer {
  std::string id;
  int status = 0;
  std::string body;
};

/// Three nodes, of which the first one is stopped: its target serves "front",
/// the targets of the others serve "work".
class StoppingNode {
 public:
  explicit StoppingNode(std::uint16_t base_port)
      : fleet_(base_port,
               1,
               {"zone-a", "zone-b", "zone-c"},
               "shutdown_timeout_ms = " +
                   std::to_string(kShutdownTimeout.count()) + "\n") {
    const std::string services[] = {"front", "work", "work"};
    for (int i = 0; i < 3; ++i)
      targets_.push_back(std::make_unique<FakeTarget>(
          services[i], static_cast<std::uint16_t>(base_port + 50 + i),
          fleet_.TargetSideAddress(i),
          [this](const http::Request& request) { return Run(request); }));
    json edits = json::array();
    for (const char* name : {"front", "work"}) {
      edits.push_back({{"kind", "route"},
                       {"name", name},
                       {"service", name},
                       {"path", std::string("/") + name}});
      edits.push_back(Setting(name, "open", true));
      edits.push_back(Setting(name, "deadline_ms", 20000));
    }
    REQUIRE(fleet_.Change(edits));
    for (const int node : {kStopped, kOther}) {
      for (const char* path : {"/front/x", "/work/x"})
        REQUIRE(WaitUntil([&] {
          return SendHttp(fleet_.CallerAddress(node), "POST", path, "probe")
                     .response.status == 200;
        }));
    }
  }

  ~StoppingNode() { FinishCallers(); }

  /// Sends requests to a node on a kept connection, one after the other, until
  /// FinishCallers().
  void StartCaller(int node, const std::string& path) {
    callers_.emplace_back([this, node, path] {
      http::Client client(fleet_.CallerAddress(node));
      while (!finished_) {
        // The node is gone.
        if (!Send(client, path, NewId()))
          std::this_thread::sleep_for(5ms);
      }
    });
  }

  void FinishCallers() {
    finished_ = true;
    for (std::thread& caller : callers_)
      caller.join();
    callers_.clear();
  }

  /// Sends a request on a connection of its own.
  std::future<void> SendOnce(int node,
                             const std::string& path,
                             const std::string& id) {
    return std::async(std::launch::async, [this, node, path, id] {
      http::Client client(fleet_.CallerAddress(node));
      Send(client, path, id);
    });
  }

  /// A connection of a caller to the node that is stopped.
  http::RawConnection OpenConnection() const {
    return http::RawConnection::To(fleet_.CallerAddress(kStopped).port);
  }

  /// Sends a request in two pieces, \p pause apart.
  void SendInPieces(http::RawConnection& connection,
                    const std::string& id,
                    milliseconds pause) {
    connection.Send("POST /work/x HTTP/1.1\r\nHost: h.exam");
    std::this_thread::sleep_for(pause);
    connection.Send("ple\r\nContent-Length: " + std::to_string(id.size()) +
                    "\r\n\r\n" + id);
    const std::string message = connection.ReadMessage();
    Answer answer;
    answer.id = id;
    const std::size_t head_end = message.find("\r\n\r\n");
    if (head_end != std::string::npos) {
      answer.status = std::stoi(message.substr(message.find(' ') + 1, 3));
      answer.body = message.substr(head_end + 4);
    }
    Record(answer);
  }

  std::string NewId() { return "r" + std::to_string(++last_id_); }

  /// Freezes the control process, so that nobody learns of the stop from it.
  void FreezeControl() { fleet_.control(0).Signal(SIGSTOP); }

  void Stop() {
    stopped_at_ = steady_clock::now();
    SignalStop();
  }
  void SignalStop() { fleet_.node(kStopped).Signal(SIGTERM); }
  void WaitAfterStop(milliseconds time) const {
    std::this_thread::sleep_until(stopped_at_ + time);
  }
  /// Returns how long the node took to stop.
  milliseconds AwaitEnd() {
    exit_code_ = fleet_.node(kStopped).Wait();
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    stopped_at_);
  }
  int exit_code() const { return exit_code_; }

  std::size_t CountAnswers(int status) const {
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        answers_.begin(), answers_.end(),
        [status](const Answer& answer) { return answer.status == status; }));
  }
  int StatusOf(const std::string& id) const {
    std::lock_guard lock(mutex_);
    for (const Answer& answer : answers_) {
      if (answer.id == id)
        return answer.status;
    }
    return 0;
  }

  /// The requests that were neither answered once nor left alone.
  std::vector<std::string> BrokenRequests() const {
    std::multiset<std::string> ran;
    for (const auto& target : targets_) {
      for (const http::Request& request : target->requests())
        ran.insert(request.body);
    }
    std::lock_guard lock(mutex_);
    std::vector<std::string> broken;
    for (const Answer& answer : answers_) {
      const std::size_t runs = ran.count(answer.id);
      const bool served = answer.status == 200 && runs == 1 &&
                          answer.body == "echo " + answer.id;
      const bool not_run =
          (answer.status == 503 || answer.status == 0) && runs == 0;
      if (!served && !not_run)
        broken.push_back(answer.id + ": status " +
                         std::to_string(answer.status) + ", runs " +
                         std::to_string(runs));
    }
    return broken;
  }

 private:
  static json Setting(const std::string& route,
                      const std::string& key,
                      const json& value) {
    return {{"kind", "setting"},
            {"level", "route"},
            {"name", route},
            {"key", key},
            {"value", value}};
  }

  static bool HasPrefix(const std::string& text, const std::string& prefix) {
    return text.rfind(prefix, 0) == 0;
  }

  http::Response Run(const http::Request& request) {
    http::Response response{200, {}, "echo " + request.body, false};
    if (request.body == "probe")
      return response;
    if (HasPrefix(request.body, kNested)) {
      std::this_thread::sleep_for(kNestedCallTime);
      const http::Exchange call =
          SendHttp(fleet_.TargetSideAddress(kStopped), "POST", "/work/x",
                   "call of " + request.body,
                   {{"x-yuccastair-call",
                     http::FindHeader(request.headers, "x-yuccastair-call")}});
      Record({"call of " + request.body, call.response.status,
              call.response.body});
      return response;
    }
    std::this_thread::sleep_for(
        HasPrefix(request.body, kLong) ? kLongServiceTime : kServiceTime);
    return response;
  }

  /// Returns whether a connection came about.
  bool Send(http::Client& client,
            const std::string& path,
            const std::string& id) {
    http::Request request;
    request.method = "POST";
    request.path = path;
    request.body = id;
    const http::Exchange exchange = client.Send(request, 20s, true);
    Record({id, exchange.response.status, exchange.response.body});
    return exchange.result != http::ExchangeResult::kNotSent;
  }

  void Record(const Answer& answer) {
    std::lock_guard lock(mutex_);
    answers_.push_back(answer);
  }

  mutable std::mutex mutex_;
  std::deque<Answer> answers_;
  std::atomic<int> last_id_ = 0;
  std::atomic<bool> finished_ = false;
  steady_clock::time_point stopped_at_;
  int exit_code_ = -1;
  ProcessFleet fleet_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  std::vector<std::thread> callers_;
};

TEST_CASE("a stopping node cuts no request of callers that never pause") {
  constexpr int kCallers = 12;
  StoppingNode system(28500);
  for (int i = 0; i < kCallers; ++i)
    system.StartCaller(kStopped, "/work/x");
  std::this_thread::sleep_for(kServiceTime);
  system.Stop();
  const milliseconds stop_time = system.AwaitEnd();
  system.FinishCallers();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(stop_time < kMaxStopTime);
  CHECK(system.exit_code() == 0);
  CHECK(system.CountAnswers(200) > kCallers);
  CHECK(system.CountAnswers(503) > 0);
}

TEST_CASE("a stopping node cuts no request on a connection that was idle") {
  StoppingNode system(28600);
  http::RawConnection idle = system.OpenConnection();
  system.SendInPieces(idle, "first", 0ms);
  REQUIRE(system.StatusOf("first") == 200);
  auto accepted = system.SendOnce(kStopped, "/work/x", kLong);
  std::this_thread::sleep_for(100ms);
  system.Stop();
  system.WaitAfterStop(kLateTime);
  system.SendInPieces(idle, std::string(kLong) + " and late", 0ms);
  system.AwaitEnd();
  accepted.get();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(system.StatusOf(kLong) == 200);
}

TEST_CASE("a stopping node cuts no request that crosses the close") {
  StoppingNode system(28700);
  std::vector<milliseconds> times;
  for (milliseconds time = kLeaveNoticeTime - 50ms;
       time < kLeaveNoticeTime + 100ms; time += 4ms)
    times.push_back(time);
  for (milliseconds time = kLateTime; time < kShutdownTimeout + 200ms;
       time += 25ms)
    times.push_back(time);
  std::vector<http::RawConnection> connections;
  for (std::size_t i = 0; i < times.size(); ++i)
    connections.push_back(system.OpenConnection());
  auto accepted = system.SendOnce(kStopped, "/work/x", kLong);
  std::this_thread::sleep_for(100ms);
  system.Stop();
  std::vector<std::future<void>> sent;
  for (std::size_t i = 0; i < times.size(); ++i) {
    system.WaitAfterStop(times[i]);
    sent.push_back(std::async(std::launch::async, [&, i] {
      system.SendInPieces(connections[i], system.NewId(),
                          i % 2 == 0 ? 0ms : 40ms);
    }));
  }
  system.AwaitEnd();
  for (std::future<void>& one : sent)
    one.get();
  accepted.get();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(system.StatusOf(kLong) == 200);
}

TEST_CASE("a stopping node cuts no call of nodes that never pause") {
  constexpr int kCallers = 12;
  StoppingNode system(28800);
  for (int i = 0; i < kCallers; ++i)
    system.StartCaller(kOther, "/front/x");
  std::this_thread::sleep_for(kServiceTime);
  system.FreezeControl();
  system.Stop();
  const milliseconds stop_time = system.AwaitEnd();
  system.FinishCallers();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(stop_time < kMaxStopTime);
  CHECK(system.CountAnswers(200) >= kCallers);
}

TEST_CASE("a stopping node serves the calls of the requests it has accepted") {
  StoppingNode system(28900);
  auto accepted = system.SendOnce(kOther, "/front/x", kNested);
  std::this_thread::sleep_for(100ms);
  system.Stop();
  system.WaitAfterStop(kLeaveNoticeTime + 200ms);
  // A second signal must not shorten the stop.
  system.SignalStop();
  auto refused = system.SendOnce(kStopped, "/work/x", "refused");
  system.AwaitEnd();
  accepted.get();
  refused.get();
  CHECK(system.BrokenRequests() == std::vector<std::string>());
  CHECK(system.StatusOf(kNested) == 200);
  CHECK(system.StatusOf(std::string("call of ") + kNested) == 200);
  CHECK(system.StatusOf("refused") == 503);
  CHECK(system.exit_code() == 0);
}

}  // namespace
}  // namespace yuccastair
