// A control process freezes while operators evacuate a zone and take it back.

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "soak_layout.h"
#include "system_client.h"
#include "system_process.h"

namespace yuccastair {
namespace {

using namespace std::chrono_literals;
using stream::Task;
namespace asio = stream::asio;
namespace http = stream::http;

// An order that is read late is executed only if the woken process knows the
// leader again by then.
constexpr int kFreezes = 6;
constexpr auto kFreezeTime = 1500ms;
constexpr auto kTransitTime = 3s;

constexpr const char* kStart = "/yuccastair/Evacuations.Start/z1";
constexpr const char* kEnd = "/yuccastair/Evacuations.End/z1";

/// Three control processes and their operators.
class Operators : private SystemClient {
 public:
  explicit Operators(std::uint64_t ports)
      : layout_(SoakLayout::kLateOrderPorts, ports) {
    for (int i = 0; i < SoakLayout::kControls; ++i)
      controls_.push_back(
          std::make_unique<Process>("control", layout_.ControlSettings(i)));
  }
  // What runs in the context refers to this object.
  ~Operators() { context().stop(); }

  using SystemClient::RunFor;

  Process& control(int i) { return *controls_[static_cast<std::size_t>(i)]; }

  /// Sends an order to a process again and again until it is acknowledged.
  void Order(int i, const std::string& order) {
    Await(order, [&] {
      return Ask(layout_.Policy(i), http::verb::post, order).status == 200;
    });
  }

  /// Sends an order to a process once and does not wait for the answer.
  std::shared_ptr<Answer> Send(int i, const std::string& order) {
    auto answer = std::make_shared<Answer>();
    asio::co_spawn(
        context(),
        [this, i, order, answer]() -> Task<void> {
          stream::ConnectionPool pool(context(), {});
          co_await Exchange(pool, layout_.Policy(i), http::verb::post, order,
                            "", "order", "", *answer);
        },
        asio::detached);
    return answer;
  }
  /// Sends an order to a process once, \p delay after the connection to it is
  /// open.
  std::shared_ptr<Answer> SendLate(int i,
                                   const std::string& order,
                                   support::Duration delay) {
    auto answer = std::make_shared<Answer>();
    asio::co_spawn(
        context(),
        [this, i, order, delay, answer]() -> Task<void> {
          stream::ConnectionPool pool(context(), {});
          auto acquired = co_await pool.Acquire(
              layout_.Policy(i), support::SteadyClock().Now() + 2 * delay);
          if (!acquired.connection)
            co_return;
          co_await Pause(delay);
          http::header<true> head;
          head.method(http::verb::post);
          head.target(order);
          head.set("Host", "h.example");
          stream::BodySource body;
          body.length = 0;
          co_await acquired.connection->Write(std::move(head), body);
          auto& reader = acquired.connection->reader();
          if (!co_await reader.ReadHead(65536))
            answer->status = reader.head().result_int();
        },
        asio::detached);
    return answer;
  }
  void AwaitAnswer(const Answer& answer) {
    Await("an answer", [&] { return answer.status != 0; });
  }

 private:
  const SoakLayout layout_;
  std::vector<std::unique_ptr<Process>> controls_;
};

// Guards against an evacuation that ends because a process that was frozen
// executes an order that its operator sent before.
TEST_CASE("an order that is read late does not end a later evacuation") {
  Operators operators(1);
  operators.Order(0, kStart);
  for (int i = 0; i < kFreezes; ++i) {
    const int frozen = i % SoakLayout::kControls;
    const int other = (i + 1) % SoakLayout::kControls;
    INFO("freeze " << i << ", of control process " << frozen);
    operators.RunFor(1s);
    operators.control(frozen).Freeze();
    const auto late = operators.Send(frozen, kEnd);
    operators.RunFor(kFreezeTime);
    operators.Order(other, kEnd);
    operators.Order(other, kStart);
    operators.RunFor(100ms);
    operators.control(frozen).Signal(SIGCONT);
    operators.AwaitAnswer(*late);
    CHECK(late->status == 503);
  }
}

// Guards against the same where the network holds an order back on a connection
// that has been accepted.
TEST_CASE("an order that arrives late does not end a later evacuation") {
  Operators operators(2);
  operators.Order(0, kStart);
  operators.RunFor(1s);
  for (int i = 0; i < SoakLayout::kControls; ++i) {
    INFO("control process " << i);
    const int other = (i + 1) % SoakLayout::kControls;
    const auto late = operators.SendLate(i, kEnd, kTransitTime);
    operators.RunFor(100ms);
    operators.Order(other, kEnd);
    operators.Order(other, kStart);
    operators.AwaitAnswer(*late);
    CHECK(late->status == 503);
  }
}

}  // namespace
}  // namespace yuccastair
