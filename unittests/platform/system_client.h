// Callers, targets and operators of a system of real processes.

#ifndef YUCCASTAIR_UNITTESTS_PLATFORM_SYSTEM_CLIENT_H_
#define YUCCASTAIR_UNITTESTS_PLATFORM_SYSTEM_CLIENT_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "relay/scripted_target.h"
#include "yuccastair/stream/client.h"
#include "yuccastair/support/address.h"
#include "yuccastair/support/clock.h"

namespace yuccastair {

struct Answer {
  unsigned status = 0;
  std::string id;
  std::string body;
  // Whether the whole request was written.
  bool sent = false;
};

/// Returns the ids of the requests that \p targets have received.
inline std::multiset<std::string> RequestIds(
    const std::vector<std::unique_ptr<relay::ScriptedTarget>>& targets) {
  const std::string name = "X-Attempt-Id: ";
  std::multiset<std::string> ids;
  for (const auto& target : targets) {
    for (const std::string& head : target->requests()) {
      const std::size_t at = head.find(name) + name.size();
      ids.insert(head.substr(at, head.find("\r\n", at) - at));
    }
  }
  return ids;
}

/// Exchanges on one thread, whose context runs while the test waits.
class SystemClient {
 public:
  /// Enough for a condition on a machine as busy as may be.
  static constexpr std::chrono::seconds kAwaitLimit{30};

  stream::asio::io_context& context() { return context_; }

  /// Sets the time that requests state as their deadline.
  void SetDeadline(std::chrono::milliseconds deadline) { deadline_ = deadline; }

  void RunFor(support::Duration time) {
    context_.restart();
    context_.run_for(time);
  }

  /// Waits until \p condition is true, and fails the test if it does not become
  /// so within kAwaitLimit. \p what names it.
  template <typename Condition>
  void Await(const std::string& what, Condition condition) {
    const support::SteadyClock clock;
    const auto end = clock.Now() + kAwaitLimit;
    while (!condition()) {
      if (clock.Now() > end)
        FAIL(what << " did not come about");
      RunFor(std::chrono::milliseconds(20));
    }
  }

  stream::Task<void> Pause(support::Duration time) {
    stream::asio::steady_timer timer(context_);
    timer.expires_after(time);
    co_await timer.async_wait(stream::kAsTuple);
  }

  /// Returns a target that serves each request.
  std::unique_ptr<relay::ScriptedTarget> ServingTarget() {
    return std::make_unique<relay::ScriptedTarget>(
        context_,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n"
        "Content-Length: 4\r\n\r\nbody",
        relay::ScriptedTarget::AfterRequest::kKeep, "X-Attempt-Id: ");
  }

  /// Sends one request; what is known of its answer goes to \p answer. An empty
  /// \p key is not sent.
  stream::Task<void> Exchange(stream::ConnectionPool& pool,
                              support::Address address,
                              stream::http::verb method,
                              std::string path,
                              std::string body,
                              std::string id,
                              std::string key,
                              Answer& answer) {
    auto acquired = co_await pool.Acquire(
        address, support::SteadyClock().Now() + deadline_ + kAnswerMargin);
    if (!acquired.connection)
      co_return;
    stream::http::header<true> head;
    head.method(method);
    head.target(path);
    head.set("Host", "h.example");
    head.set("X-Attempt-Id", id);
    head.set("X-Deadline-Ms", std::to_string(deadline_.count()));
    if (!key.empty())
      head.set("Authorization", "Token " + key);
    stream::BodySource source;
    source.begin = std::move(body);
    source.length = source.begin.size();
    stream::ErrorCode error =
        co_await acquired.connection->Write(std::move(head), source);
    if (error)
      co_return;
    answer.sent = true;
    auto& reader = acquired.connection->reader();
    error = co_await reader.ReadHead(65536);
    if (!error)
      error = co_await reader.ReadUpTo(answer.body, std::size_t{1} << 20);
    if (error)
      co_return;
    answer.id = std::string(reader.head().base()["X-Attempt-Id"]);
    answer.status = reader.head().result_int();
    pool.Release(std::move(acquired.connection), std::chrono::seconds(10));
  }

  /// Sends one request on a connection of its own and waits for its answer.
  Answer Ask(const support::Address& address,
             stream::http::verb method,
             const std::string& path,
             const std::string& body = "") {
    auto answer = std::make_shared<Answer>();
    auto done = std::make_shared<bool>(false);
    stream::asio::co_spawn(
        context_,
        [this, address, method, path, body, answer,
         done]() -> stream::Task<void> {
          stream::ConnectionPool pool(context_, {});
          co_await Exchange(pool, address, method, path, body, "probe", "",
                            *answer);
          *done = true;
        },
        stream::asio::detached);
    context_.restart();
    while (!*done)
      context_.run_one();
    return *answer;
  }

  /// Announces a target of service "s1" to its relay again and again until
  /// \p finished. The target has just started and is cold for \p cold.
  stream::Task<void> Announce(
      std::string id,
      support::Address target,
      support::Address relay,
      std::shared_ptr<const bool> finished,
      std::chrono::milliseconds cold = std::chrono::milliseconds(0)) {
    constexpr std::chrono::milliseconds kHeartbeat{300};
    const support::SteadyClock clock;
    const support::TimePoint warm_at = clock.Now() + cold;
    stream::ConnectionPool pool(context_, {});
    for (int sequence = 1; !*finished; ++sequence) {
      const auto cold_left = std::max(
          std::chrono::milliseconds(0),
          std::chrono::ceil<std::chrono::milliseconds>(warm_at - clock.Now()));
      const nlohmann::json body = {{"addr", target.ToString()},
                                   {"info", {{"service", "s1"}, {"slots", 20}}},
                                   {"status",
                                    {{"state", "ready"},
                                     {"seq", sequence},
                                     {"coldLeftMs", cold_left.count()}}}};
      Answer answer;
      co_await Exchange(pool, relay, stream::http::verb::post,
                        "/yuccastair/Instances.Heartbeat/" + id, body.dump(),
                        "beat", "", answer);
      co_await Pause(kHeartbeat);
    }
  }

 private:
  // Time after the deadline in which an answer may still arrive.
  static constexpr std::chrono::seconds kAnswerMargin{1};

  stream::asio::io_context context_;
  std::chrono::milliseconds deadline_{4000};
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_PLATFORM_SYSTEM_CLIENT_H_
