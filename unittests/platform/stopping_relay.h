// A system of two relays of which one is stopped, and its callers.

#ifndef YUCCASTAIR_UNITTESTS_PLATFORM_STOPPING_RELAY_H_
#define YUCCASTAIR_UNITTESTS_PLATFORM_STOPPING_RELAY_H_

#include <algorithm>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "relay/scripted_target.h"
#include "soak_layout.h"
#include "system_client.h"
#include "system_process.h"

namespace yuccastair {

/// A request of a caller and what is known of its answer.
struct CallerRequest {
  std::string id;
  Answer answer;
};

/// Two relays with a target each, and callers that see how one of them stops.
class StoppingRelay : private SystemClient {
 public:
  using milliseconds = std::chrono::milliseconds;

  static constexpr int kRelays = 2;
  /// The relay that is stopped.
  static constexpr int kStopped = 0;
  static constexpr milliseconds kServiceTime{1000};
  /// Id of a request that keeps a target at work, and its time there.
  static constexpr const char* kLongRequest = "long";
  static constexpr milliseconds kLongServiceTime{4600};

  struct Options {
    int first_port = SoakLayout::kPlannedStopPorts;
    milliseconds shutdown_timeout{6000};
    milliseconds request_deadline{8000};
    /// Latency objective of the routes; a fraction of it is the queue time.
    milliseconds objective{1000};
    milliseconds service_time = kServiceTime;
    /// The relays whose targets announce themselves.
    std::vector<int> with_target{0, 1};
  };

  explicit StoppingRelay(std::uint64_t ports)
      : StoppingRelay(ports, Options()) {}
  StoppingRelay(std::uint64_t ports, Options options)
      : options_(std::move(options)), layout_(options_.first_port, ports) {
    SetDeadline(options_.request_deadline);
    for (int i = 0; i < SoakLayout::kControls; ++i)
      controls_.push_back(
          std::make_unique<Process>("control", layout_.ControlSettings(i)));
    for (int i = 0; i < kRelays; ++i)
      StartRelay(i);
    nlohmann::json document = SoakLayout::Document(0, 1);
    for (auto& route : document["routes"]) {
      route["timeoutMs"] = options_.request_deadline.count();
      route["targetLatencyMs"] = options_.objective.count();
    }
    Await("a policy", [&] {
      return Ask(layout_.Policy(0), stream::http::verb::post,
                 "/yuccastair/Config.Put", document.dump())
                 .status == 200;
    });
    for (int i : options_.with_target)
      Await("service of the own target at relay " + std::to_string(i), [&] {
        const auto& received =
            targets_[static_cast<std::size_t>(i)]->requests();
        const std::size_t before = received.size();
        return Ask(layout_.Callers(i), stream::http::verb::get, "/safe/x")
                       .status == 200 &&
               received.size() > before;
      });
  }

  ~StoppingRelay() {
    *finished_ = true;
    // What runs in the context refers to this object.
    context().stop();
  }

  using SystemClient::RunFor;
  using SystemClient::SetDeadline;

  /// A connection of a caller to the relay that is stopped.
  std::shared_ptr<stream::asio::ip::tcp::socket> OpenConnection() {
    auto socket = std::make_shared<stream::asio::ip::tcp::socket>(context());
    socket->connect(stream::ToEndpoint(layout_.Callers(kStopped)));
    return socket;
  }

  /// Sends requests to a relay on kept connections, one after the other, until
  /// FinishCallers().
  void StartCaller(int relay) {
    stream::asio::co_spawn(
        context(),
        [this, relay]() -> stream::Task<void> {
          stream::ConnectionPool pool(context(), {});
          while (!*finished_) {
            const auto request = NewRequest();
            co_await Send(pool, layout_.Callers(relay), request);
            // The relay is gone.
            if (!request->answer.sent)
              co_await Pause(milliseconds(5));
          }
        },
        stream::asio::detached);
  }

  /// Sends a request on a connection of its own to the relay that is stopped.
  std::shared_ptr<CallerRequest> SendOnce(const std::string& id) {
    auto request = NewRequest(id);
    stream::asio::co_spawn(
        context(),
        [this, request]() -> stream::Task<void> {
          stream::ConnectionPool pool(context(), {});
          co_await Send(pool, layout_.Callers(kStopped), request);
        },
        stream::asio::detached);
    return request;
  }

  /// Sends a request on an idle connection in two pieces, \p pause apart.
  void SendInPieces(
      const std::shared_ptr<stream::asio::ip::tcp::socket>& socket,
      milliseconds pause) {
    stream::asio::co_spawn(
        context(),
        [this, socket, pause, request = NewRequest()]() -> stream::Task<void> {
          const std::string head = "POST /unsafe/x HTTP/1.1\r\nHost: h.example";
          const std::string rest =
              "\r\nX-Attempt-Id: " + request->id +
              "\r\nX-Deadline-Ms: 8000\r\nContent-Length: 5\r\n\r\norder";
          co_await stream::asio::async_write(
              *socket, stream::asio::buffer(head), stream::kAsTuple);
          co_await Pause(pause);
          co_await stream::asio::async_write(
              *socket, stream::asio::buffer(rest), stream::kAsTuple);
          stream::http::response<stream::http::string_body> answer;
          stream::beast::flat_buffer buffer;
          auto [error, bytes] = co_await stream::http::async_read(
              *socket, buffer, answer, stream::kAsTuple);
          if (!error)
            request->answer.status = answer.result_int();
        },
        stream::asio::detached);
  }

  std::shared_ptr<CallerRequest> NewRequest(const std::string& id = "") {
    requests_.push_back(std::make_shared<CallerRequest>());
    requests_.back()->id =
        id.empty() ? "r" + std::to_string(requests_.size()) : id;
    return requests_.back();
  }

  /// Freezes the control processes, so that nobody learns of the stop.
  void FreezeControl() {
    for (const auto& control : controls_)
      control->Signal(SIGSTOP);
  }

  void Stop() {
    stopped_at_ = support::SteadyClock().Now();
    relays_[kStopped]->Signal(SIGTERM);
  }
  /// Runs until \p time after the stop.
  void RunUntil(milliseconds time) {
    RunFor(stopped_at_ + time - support::SteadyClock().Now());
  }
  /// Returns how long the relay took to stop.
  milliseconds AwaitEnd() {
    Await("the end of the relay",
          [&] { return relays_[kStopped]->HasEnded(); });
    return std::chrono::duration_cast<milliseconds>(
        support::SteadyClock().Now() - stopped_at_);
  }
  bool ended_well() const { return relays_[kStopped]->ended_well(); }

  /// Lets the callers end, and the requests that are under way.
  void FinishCallers() {
    *finished_ = true;
    RunFor(2 * options_.service_time + milliseconds(200));
  }

  std::size_t CountAnswers(unsigned status) const {
    return static_cast<std::size_t>(std::count_if(
        requests_.begin(), requests_.end(), [status](const auto& request) {
          return request->answer.status == status;
        }));
  }

  /// Requests that reached the target of the stopped relay.
  std::size_t CallsAtStopped() const {
    return targets_[kStopped]->requests().size();
  }

  /// The requests that were neither answered once nor left alone, each with its
  /// status and the number of times that it has run.
  std::vector<std::string> BrokenRequests() const {
    const std::multiset<std::string> ran = RequestIds(targets_);
    std::vector<std::string> broken;
    for (const auto& request : requests_) {
      const unsigned status = request->answer.status;
      const std::size_t runs = ran.count(request->id);
      const bool served = status == 200 && runs == 1;
      const bool not_run = (status == 503 || status == 0) && runs == 0;
      if (!served && !not_run)
        broken.push_back(request->id + ": status " + std::to_string(status) +
                         ", runs " + std::to_string(runs));
    }
    return broken;
  }

  /// The requests that have not run and were not told so.
  std::vector<std::string> UnansweredRequests() const {
    const std::multiset<std::string> ran = RequestIds(targets_);
    std::vector<std::string> unanswered;
    for (const auto& request : requests_) {
      if (ran.count(request->id) == 0 && request->answer.status != 503)
        unanswered.push_back(request->id + ": status " +
                             std::to_string(request->answer.status));
    }
    return unanswered;
  }

 private:
  void StartRelay(int i) {
    targets_.push_back(ServingTarget());
    targets_.back()->DelayResponses([this](const std::string& id) {
      if (id == "probe")
        return std::min(options_.service_time, kServiceTime);
      return id == kLongRequest ? kLongServiceTime : options_.service_time;
    });
    const support::Address target = targets_.back()->address();
    relays_.push_back(std::make_unique<Process>(
        "relay", layout_.RelaySettings(i, target, options_.shutdown_timeout)));
    if (std::find(options_.with_target.begin(), options_.with_target.end(),
                  i) == options_.with_target.end())
      return;
    stream::asio::co_spawn(context(),
                           Announce("i-" + std::to_string(i), target,
                                    layout_.TargetCalls(i), finished_),
                           stream::asio::detached);
  }

  stream::Task<void> Send(stream::ConnectionPool& pool,
                          support::Address address,
                          std::shared_ptr<CallerRequest> request) {
    co_await Exchange(pool, address, stream::http::verb::post, "/unsafe/x",
                      "order", request->id, "", request->answer);
  }

  const Options options_;
  const SoakLayout layout_;
  std::vector<std::unique_ptr<relay::ScriptedTarget>> targets_;
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::unique_ptr<Process>> relays_;
  std::vector<std::shared_ptr<CallerRequest>> requests_;
  support::TimePoint stopped_at_;
  std::shared_ptr<bool> finished_ = std::make_shared<bool>(false);
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_PLATFORM_STOPPING_RELAY_H_
