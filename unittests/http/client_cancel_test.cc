// The client against targets that misbehave.

#include "yuccastair/http/client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "fake_target.h"

namespace yuccastair::http {
namespace {

using std::chrono::milliseconds;
using Action = FakeTarget::Action;

constexpr milliseconds kLong{20000};
constexpr milliseconds kShort{100};

Request Post() {
  Request request;
  request.method = "POST";
  request.path = "/book";
  request.body = "seat 7";
  return request;
}

// Guards against a request that the client sends again by itself when the
// connection closes without a response.
TEST_CASE("a request is read once, however the exchange ends") {
  const auto [action, result] = GENERATE(table<Action, ExchangeResult>(
      {{Action::kRespond, ExchangeResult::kComplete},
       {Action::kClose, ExchangeResult::kBroken},
       {Action::kRespondTruncated, ExchangeResult::kBroken},
       {Action::kSilent, ExchangeResult::kTimedOut}}));
  const bool reuse = GENERATE(false, true);
  std::atomic<int> seen = 0;
  FakeTarget target(27101, [&, action = action](const std::string&) {
    return ++seen == 2 ? action : Action::kRespond;
  });
  Client client(target.address());
  CHECK(client.Send(Post(), kLong, reuse).result == ExchangeResult::kComplete);
  CHECK(client.HasConnection());
  const Exchange exchange =
      client.Send(Post(), action == Action::kSilent ? kShort : kLong, reuse);
  CHECK(exchange.result == result);
  CHECK(target.requests() == 2);
  CHECK(client.HasConnection() == (result == ExchangeResult::kComplete));
  // The client is of use again afterwards.
  CHECK(client.Send(Post(), kLong, reuse).result == ExchangeResult::kComplete);
  CHECK(target.requests() == 3);
}

// Guards against "not run" for a request that a target may have seen, and
// against "unknown" for one that none can have seen.
TEST_CASE("a refused connection means that nothing was sent") {
  Client client({"127.0.0.1", 27102});
  CHECK(client.Send(Post(), kLong, false).result == ExchangeResult::kNotSent);
}

// Guards against a target that goes on working for a caller that has gone.
TEST_CASE("cancelling closes the connection") {
  FakeTarget target(27103, [](const std::string&) { return Action::kSilent; });
  Client client(target.address());
  std::thread canceller([&] {
    target.AwaitRequests(1);
    client.Cancel();
  });
  CHECK(client.Send(Post(), kLong, false).result == ExchangeResult::kCancelled);
  canceller.join();
  target.AwaitClientClose(1);
  CHECK(target.requests() == 1);
}

// Guards against a buffer that only holds small messages.
TEST_CASE("a large body arrives whole") {
  std::string received;
  FakeTarget target(27105, [&](const std::string& request) {
    received = request.substr(request.find("\r\n\r\n") + 4);
    return Action::kRespond;
  });
  Request request = Post();
  request.body.assign(3000000, 'x');
  request.body += "end";
  Client client(target.address());
  const Exchange exchange = client.Send(request, kLong, false);
  CHECK(exchange.result == ExchangeResult::kComplete);
  CHECK(exchange.response.body == "ok");
  CHECK(received == request.body);
}

TEST_CASE("a connection that the target closed is not used again") {
  FakeTarget first(27104);
  Client client(first.address());
  CHECK(client.Send(Post(), kLong, true).result == ExchangeResult::kComplete);
  CHECK(client.Send(Post(), kLong, true).result == ExchangeResult::kComplete);
  CHECK(first.connections() == 1);
  CHECK(client.Send(Post(), kLong, false).result == ExchangeResult::kComplete);
  CHECK(first.connections() == 2);
}

}  // namespace
}  // namespace yuccastair::http
