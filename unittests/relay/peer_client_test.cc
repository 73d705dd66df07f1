// Tests connections to other relays that stop responding.

#include "peer_client.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "peer_response.h"
#include "scripted_target.h"

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;

class PeerFixture {
 protected:
  struct Exchange {
    RelayCall call;
    CallResult result;
    bool done = false;
  };

  std::shared_ptr<Exchange> Begin(std::chrono::milliseconds time) {
    auto exchange = std::make_shared<Exchange>();
    exchange->call.request_id = "1";
    exchange->call.service = "s";
    exchange->call.head.method(stream::http::verb::get);
    exchange->call.head.target("/");
    exchange->call.body.length = 0;
    exchange->call.deadline = clock_.Now() + time;
    stream::asio::co_spawn(
        context_,
        [this, exchange]() -> stream::Task<void> {
          exchange->result =
              co_await peers_.Send(exchange->call, relay_.address());
          exchange->done = true;
        },
        stream::asio::detached);
    return exchange;
  }

  void Finish(const std::vector<std::shared_ptr<Exchange>>& exchanges) {
    context_.restart();
    for (const auto& exchange : exchanges) {
      while (!exchange->done)
        context_.run_one();
    }
  }

  stream::asio::io_context context_;
  support::SteadyClock clock_;
  bool silent_ = false;
  ScriptedTarget relay_{context_, PeerResponse(CallResult::NotRun("full")),
                        [this](const std::string&) {
                          return silent_
                                     ? ScriptedTarget::AfterRequest::kNoResponse
                                     : ScriptedTarget::AfterRequest::kKeep;
                        }};
  PeerClient peers_{context_, clock_};
};

// Guards against losing one request per connection after a network device
// between two relays has dropped its connection state.
TEST_CASE_METHOD(PeerFixture,
                 "idle connections are not used after one timed out") {
  Finish({Begin(10s), Begin(10s)});
  REQUIRE(relay_.connections() == 2);
  silent_ = true;
  const auto lost = Begin(100ms);
  Finish({lost});
  REQUIRE(lost->result.peer_failed);
  REQUIRE(relay_.connections() == 2);
  silent_ = false;
  const auto next = Begin(10s);
  Finish({next});
  CHECK(next->result.outcome == wire::OUTCOME_NOT_RUN);
  CHECK(relay_.connections() == 3);
}

}  // namespace
}  // namespace yuccastair::relay
