// How the event-driven server shares its thread among connections.

#include "yuccastair/stream/server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace yuccastair::stream {
namespace {

using Socket = asio::ip::tcp::socket;

constexpr std::size_t kBusy = 30;
constexpr std::size_t kNewcomers = 40;
constexpr std::size_t kAnswerRoom = 4096;

Task<void> AnswerEmpty(ServerExchange& exchange) {
  http::header<false> head;
  head.result(200);
  co_await exchange.RespondText(std::move(head), "");
}

/// A server whose handlers have something to do in each round of the loop.
class BusyServer {
 protected:
  ~BusyServer() { stopped_ = true; }

  Socket Ask() {
    Socket socket(context_);
    socket.connect({asio::ip::make_address("127.0.0.1"), server_.port()});
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    return socket;
  }

  void RunUntilBegun(std::size_t requests) {
    while (begun_ < requests)
      context_.run_one();
  }

  Task<void> Handle() {
    ++begun_;
    while (!stopped_) {
      ++steps_;
      co_await asio::post(context_, asio::use_awaitable);
    }
  }

  asio::io_context context_;
  std::size_t begun_ = 0;
  std::size_t steps_ = 0;
  bool stopped_ = false;
  Server server_{context_, support::Address{"127.0.0.1", 0},
                 [this](ServerExchange&) { return Handle(); }};
};

// Guards against connections that wait for seconds under load: one was accepted
// in each round of the loop, while each round served all others.
TEST_CASE_METHOD(BusyServer, "connections that wait are accepted together") {
  constexpr std::size_t kMostRounds = 10;
  std::vector<Socket> sockets;
  for (std::size_t i = 0; i < kBusy; ++i)
    sockets.push_back(Ask());
  RunUntilBegun(kBusy);
  const std::size_t before = steps_;
  for (std::size_t i = 0; i < kNewcomers; ++i)
    sockets.push_back(Ask());
  RunUntilBegun(kBusy + kNewcomers);
  CHECK(steps_ - before < kMostRounds * (kBusy + kNewcomers));
}

// Guards against a process that leaves while clients go on using connections
// to it, which its end would then break.
TEST_CASE("a draining server closes each connection after its answer") {
  asio::io_context context;
  Server server(context, support::Address{"127.0.0.1", 0},
                [](ServerExchange& exchange) { return AnswerEmpty(exchange); });
  Socket client(context);
  client.connect({asio::ip::make_address("127.0.0.1"), server.port()});
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  asio::write(client, asio::buffer(request));
  context.run_for(std::chrono::milliseconds(50));
  std::string first(kAnswerRoom, '\0');
  first.resize(client.read_some(asio::buffer(first)));
  CHECK(first.find("Connection: close") == std::string::npos);
  server.StartDraining();
  asio::write(client, asio::buffer(request));
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  std::string second(kAnswerRoom, '\0');
  second.resize(client.read_some(asio::buffer(second)));
  CHECK(second.find("200") != std::string::npos);
  CHECK(second.find("Connection: close") != std::string::npos);
  ErrorCode error;
  client.read_some(asio::buffer(first), error);
  CHECK(error == asio::error::eof);
}

class StoppingServer {
 protected:
  Socket Connect() {
    Socket socket(context_);
    socket.connect({asio::ip::make_address("127.0.0.1"), server_.port()});
    socket.non_blocking(true);
    return socket;
  }

  void Send(Socket& socket, const std::string& text) {
    asio::write(socket, asio::buffer(text));
  }

  /// Returns what has arrived; empty if nothing has. \p error is eof for a
  /// closed connection.
  std::string Read(Socket& socket, ErrorCode& error) {
    context_.restart();
    context_.run_for(std::chrono::milliseconds(50));
    std::string text(kAnswerRoom, '\0');
    text.resize(socket.read_some(asio::buffer(text), error));
    return text;
  }

  static constexpr const char* kRequest = "GET / HTTP/1.1\r\n\r\n";

  asio::io_context context_;
  Server server_{
      context_, support::Address{"127.0.0.1", 0},
      [](ServerExchange& exchange) { return AnswerEmpty(exchange); }};
};

// Guards against callers that use a connection which the end of the process
// breaks.
TEST_CASE_METHOD(
    StoppingServer,
    "a stopping server closes only connections without a request") {
  Socket idle = Connect();
  Socket begun = Connect();
  Socket arrived = Connect();
  ErrorCode error;
  Send(begun, "GET / HTTP/1.1\r\n");
  Read(begun, error);
  REQUIRE(error == asio::error::would_block);
  Send(arrived, kRequest);
  server_.CloseIdle();
  Read(idle, error);
  CHECK(error == asio::error::eof);
  CHECK(Read(arrived, error).find("200") != std::string::npos);
  Send(begun, "\r\n");
  CHECK(Read(begun, error).find("200") != std::string::npos);
  Socket late = Connect();
  Send(late, kRequest);
  CHECK(Read(late, error).find("200") != std::string::npos);
}

TEST_CASE_METHOD(StoppingServer,
                 "a server that stops listening has no connection left") {
  Socket idle = Connect();
  Socket begun = Connect();
  ErrorCode error;
  Send(begun, "GET / HTTP/1.1\r\n");
  Read(begun, error);
  const std::uint16_t port = server_.port();
  CHECK(server_.connections() == 2);
  server_.StopListening();
  Read(idle, error);
  CHECK(error == asio::error::eof);
  Socket refused(context_);
  refused.connect({asio::ip::make_address("127.0.0.1"), port}, error);
  CHECK(error == asio::error::connection_refused);
  CHECK(server_.connections() == 1);
  Send(begun, "\r\n");
  CHECK(Read(begun, error).find("Connection: close") != std::string::npos);
  begun.close();
  Read(idle, error);
  CHECK(server_.connections() == 0);
}

}  // namespace
}  // namespace yuccastair::stream
