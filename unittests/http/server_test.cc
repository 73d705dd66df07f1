// What the HTTP server does with requests that arrive in pieces, too large,
// ambiguous or in number. Guards against a handler that runs on a request other
// than the one that was sent.

#include "yuccastair/http/server.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "raw_socket.h"

namespace yuccastair::http {
namespace {

constexpr std::uint16_t kPort = 29011;

std::string StatusOf(const std::string& message) {
  return message.size() < 12 ? message : message.substr(9, 3);
}

std::string BodyOf(const std::string& message) {
  const std::size_t end = message.find("\r\n\r\n");
  return end == std::string::npos ? "" : message.substr(end + 4);
}

/// A server that echoes bodies and keeps the requests that its handler got.
class EchoServer {
 public:
  explicit EchoServer(Server::Options options = {}) {
    options.listen = {"127.0.0.1", kPort};
    options.on_request = [this](const Request& request) {
      std::unique_lock lock(mutex_);
      requests_.push_back(request);
      ++waiting_;
      changed_.notify_all();
      changed_.wait(lock, [this] { return !held_; });
      --waiting_;
      Response response;
      if (request.path == "/204")
        response.status = 204;
      else if (request.path == "/large")
        response.headers.push_back({"X-Large", std::string(5000, 'x')});
      else if (request.path == "/304")
        response.status = 304;
      else
        response.body = request.body.empty() ? request.path : request.body;
      return response;
    };
    options.on_refused = [](const Request&, int status) {
      return Response{status, {}, "refused", false};
    };
    server_.emplace(std::move(options));
  }

  std::vector<Request> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

  /// Holds every request in the handler until Release().
  void Hold() {
    const std::lock_guard lock(mutex_);
    held_ = true;
  }
  void Release() {
    const std::lock_guard lock(mutex_);
    held_ = false;
    changed_.notify_all();
  }
  void WaitForHeld(int count) {
    std::unique_lock lock(mutex_);
    REQUIRE(
        changed_.wait_for(lock, kHangLimit, [&] { return waiting_ >= count; }));
  }

  Server& server() { return *server_; }

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Request> requests_;
  int waiting_ = 0;
  bool held_ = false;
  std::optional<Server> server_;
};

Server::Options SmallBodies() {
  Server::Options options;
  options.max_body_bytes = 1000;
  return options;
}

TEST_CASE("a body over the limit gets 413 and does not reach the handler") {
  const EchoServer server(SmallBodies());
  RawConnection connection = RawConnection::To(kPort);
  connection.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" +
      std::string(1001, 'x'));
  CHECK(StatusOf(connection.ReadToEnd()) == "413");
  CHECK(server.requests().empty());
}

TEST_CASE("a chunked body over the limit gets 413") {
  const EchoServer server(SmallBodies());
  RawConnection connection = RawConnection::To(kPort);
  connection.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3e9\r\n" +
      std::string(1001, 'x') + "\r\n0\r\n\r\n");
  CHECK(StatusOf(connection.ReadToEnd()) == "413");
  CHECK(server.requests().empty());
}

TEST_CASE("headers that do not fit are refused, never cut") {
  const EchoServer server;
  const std::size_t size = GENERATE(3500, 4060, 4096, 5000, 20000);
  RawConnection connection = RawConnection::To(kPort);
  connection.Send(
      "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-First: " +
      std::string(size, 'x') + "\r\nX-Last: last\r\n\r\n");
  const std::string answer = connection.ReadToEnd();
  CAPTURE(size, answer);
  const std::vector<Request> requests = server.requests();
  if (StatusOf(answer) == "200") {
    REQUIRE(requests.size() == 1);
    CHECK(FindHeader(requests[0].headers, "X-First").size() == size);
    CHECK(FindHeader(requests[0].headers, "X-Last") == "last");
  } else {
    CHECK((answer.empty() || StatusOf(answer) == "431"));
    CHECK(requests.empty());
  }
  CHECK((size != 3500 || StatusOf(answer) == "200"));
}

TEST_CASE("a chunked body that arrives in pieces is whole") {
  const EchoServer server;
  RawConnection connection = RawConnection::To(kPort);
  for (const char* piece :
       {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Enc", "oding: chunked\r\n\r\n",
        "5\r\nhe", "llo\r\n", "6;name=value\r\n world\r", "\n0\r\n\r\n"}) {
    connection.Send(piece);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(BodyOf(connection.ReadMessage()) == "hello world");
}

TEST_CASE("a body that arrives in pieces is whole") {
  const EchoServer server;
  RawConnection connection = RawConnection::To(kPort);
  connection.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n");
  for (int i = 0; i < 30; ++i)
    connection.Send(std::string(10000, static_cast<char>('a' + i % 26)));
  const std::string body = BodyOf(connection.ReadMessage());
  REQUIRE(body.size() == 300000);
  CHECK(body.substr(290000) == std::string(10000, 'd'));
}

TEST_CASE("an incomplete body does not reach the handler") {
  const EchoServer server;
  {
    RawConnection connection = RawConnection::To(kPort);
    connection.Send(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345");
  }
  RawConnection connection = RawConnection::To(kPort);
  connection.Send("GET /after HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(BodyOf(connection.ReadMessage()) == "/after");
  CHECK(server.requests().size() == 1);
}

TEST_CASE("HEAD, 204 and 304 have no body") {
  const EchoServer server;
  const std::string request = GENERATE("HEAD /a", "GET /204", "GET /304");
  RawConnection connection = RawConnection::To(kPort);
  connection.Send(request + " HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string header = connection.ReadUntil("\r\n\r\n");
  CAPTURE(header);
  connection.Send("GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::string rest = connection.ReadToEnd();
  CHECK(rest.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(BodyOf(rest) == "/next");
}

TEST_CASE("a sender that waits for 100 Continue gets an answer") {
  const EchoServer server;
  RawConnection connection = RawConnection::To(kPort);
  connection.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Content-Length: 5\r\n\r\n");
  const std::string first = connection.ReadUntil("\r\n\r\n");
  CAPTURE(first);
  if (StatusOf(first) == "100") {
    connection.Send("hello");
    CHECK(BodyOf(connection.ReadMessage()) == "hello");
  } else {
    CHECK(StatusOf(first) == "417");
    CHECK(server.requests().empty());
  }
}

TEST_CASE("pipelined requests are answered in order") {
  const EchoServer server;
  RawConnection connection = RawConnection::To(kPort);
  connection.Send(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\ntwo"
      "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(BodyOf(connection.ReadMessage()) == "/1");
  CHECK(BodyOf(connection.ReadMessage()) == "two");
  CHECK(BodyOf(connection.ReadMessage()) == "/3");
}

TEST_CASE("a request with an ambiguous length gets 400") {
  const EchoServer server;
  const std::string headers =
      GENERATE("Content-Length: 3\r\nContent-Length: 30\r\n",
               "Content-Length: 3\r\ncontent-length: 3\r\n",
               "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
               "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
               "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
               "Transfer-Encoding: xchunked\r\n", "Content-Length: 3x\r\n",
               "Content-Length: -3\r\n", "Content-Length: +3\r\n",
               "Content-Length: 3,3\r\n");
  RawConnection connection = RawConnection::To(kPort);
  connection.Send("POST /a HTTP/1.1\r\nHost: h\r\n" + headers +
                  "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string answer = connection.ReadToEnd();
  CAPTURE(headers, answer);
  CHECK(StatusOf(answer) == "400");
  CHECK(answer.find("HTTP/1.1", 9) == std::string::npos);
  CHECK(server.requests().empty());
}

TEST_CASE("long response headers are whole") {
  const EchoServer server;
  RawConnection connection = RawConnection::To(kPort);
  connection.Send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string answer = connection.ReadMessage();
  CHECK(StatusOf(answer) == "200");
  CHECK(answer.find("X-Large: " + std::string(5000, 'x') + "\r\n") !=
        std::string::npos);
}

TEST_CASE("a sender that stops in the middle of a request is disconnected") {
  Server::Options options;
  options.read_timeout = std::chrono::milliseconds(100);
  options.keep_alive_timeout = std::chrono::milliseconds(200);
  const EchoServer server(std::move(options));
  const std::string start =
      GENERATE("GET /a HT",
               "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123");
  RawConnection connection = RawConnection::To(kPort);
  connection.Send(start);
  CHECK(StatusOf(connection.ReadToEnd()) != "200");
  CHECK(server.requests().empty());
}

TEST_CASE("idle connections do not keep others from being served") {
  constexpr int kConnections = 1400;
  EchoServer server;
  std::vector<RawConnection> connections;
  connections.reserve(kConnections);
  for (int i = 0; i < kConnections; ++i)
    connections.push_back(RawConnection::To(kPort));
  for (int i = 0; i < kConnections; i += 3)
    connections[i].Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  for (int i = 0; i < kConnections; i += 3)
    REQUIRE(StatusOf(connections[i].ReadMessage()) == "200");
}

TEST_CASE("requests beyond max_in_flight get 503 on a closed connection") {
  constexpr int kInFlight = 16;
  constexpr int kMore = 200;
  Server::Options options;
  options.max_in_flight = kInFlight;
  EchoServer server(std::move(options));
  server.Hold();
  std::vector<RawConnection> held;
  held.reserve(kInFlight);
  for (int i = 0; i < kInFlight; ++i) {
    held.push_back(RawConnection::To(kPort));
    held.back().Send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  server.WaitForHeld(kInFlight);
  std::vector<RawConnection> refused;
  refused.reserve(kMore);
  for (int i = 0; i < kMore; ++i) {
    refused.push_back(RawConnection::To(kPort));
    refused.back().Send("GET /more HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  for (RawConnection& connection : refused) {
    const std::string answer = connection.ReadToEnd();
    REQUIRE(StatusOf(answer) == "503");
    REQUIRE(answer.find("Connection: close") != std::string::npos);
  }
  server.Release();
  for (RawConnection& connection : held)
    CHECK(StatusOf(connection.ReadMessage()) == "200");
  CHECK(server.requests().size() == kInFlight);
}

TEST_CASE("a stopping server cuts off no request in a handler") {
  const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  EchoServer server;
  server.Hold();
  RawConnection idle = RawConnection::To(kPort);
  RawConnection accepted = RawConnection::To(kPort);
  RawConnection begun = RawConnection::To(kPort);
  accepted.Send(request);
  server.WaitForHeld(1);
  begun.Send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx");
  RawConnection late = RawConnection::To(kPort);
  server.server().RefuseRequests();
  CHECK(idle.ReadToEnd().empty());
  begun.Send("x");
  CHECK(StatusOf(begun.ReadToEnd()) == "503");
  RawConnection next = RawConnection::To(kPort);
  next.Send(request);
  CHECK(StatusOf(next.ReadToEnd()) == "503");
  CHECK(server.server().unanswered() == 1);
  server.Release();
  CHECK(BodyOf(accepted.ReadMessage()) == "/a");
  server.server().StopListening();
  CHECK(accepted.ReadToEnd().empty());
  for (RawConnection* connection : {&idle, &accepted, &begun, &late, &next})
    connection->Close();
  const auto end = std::chrono::steady_clock::now() + kHangLimit;
  while (server.server().connections() > 0 &&
         std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  CHECK(server.server().unanswered() == 0);
  CHECK(server.server().connections() == 0);
  CHECK_THROWS(RawConnection::To(kPort));
  CHECK(server.requests().size() == 1);
}

}  // namespace
}  // namespace yuccastair::http
