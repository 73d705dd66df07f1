// What the HTTP client makes of servers that cut, chunk, delay or close.
// Guards against a partial response that passes as a whole one and a request
// that is sent twice.

#include "yuccastair/http/client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <string>

#include "raw_socket.h"

namespace yuccastair::http {
namespace {

using std::chrono::milliseconds;

Request Get(const std::string& path) {
  Request request;
  request.method = "GET";
  request.path = path;
  return request;
}

/// Sends one GET to a server that writes \p response and closes.
Exchange ExchangeWith(const std::string& response,
                      const std::string& method = "GET") {
  RawServer server([&](RawConnection& connection, int) {
    connection.ReadUntil("\r\n\r\n");
    connection.Send(response);
  });
  Client client({"127.0.0.1", server.port()});
  Request request = Get("/a");
  request.method = method;
  return client.Send(request, kHangLimit, false);
}

TEST_CASE("a whole response is complete") {
  const Exchange exchange = ExchangeWith(
      "HTTP/1.1 200 OK\r\nX-A: a\r\nContent-Length: 5\r\n\r\nhello");
  REQUIRE(exchange.result == ExchangeResult::kComplete);
  CHECK(exchange.response.body == "hello");
  CHECK(FindHeader(exchange.response.headers, "x-a") == "a");
}

TEST_CASE("a chunked response is whole") {
  const Exchange exchange = ExchangeWith(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");
  REQUIRE(exchange.result == ExchangeResult::kComplete);
  CHECK(exchange.response.body == "hello world");
}

TEST_CASE("a body delimited by the end of the connection is whole") {
  const Exchange exchange =
      ExchangeWith("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello");
  REQUIRE(exchange.result == ExchangeResult::kComplete);
  CHECK(exchange.response.body == "hello");
}

TEST_CASE("a response cut short is not complete") {
  const std::string response = GENERATE(
      "", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nContent-Le",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  CAPTURE(response);
  CHECK(ExchangeWith(response).result == ExchangeResult::kBroken);
}

// Guards against a part of a body that passes as the whole of it.
TEST_CASE("a reset does not end a body") {
  const bool unread_upload = GENERATE(false, true);
  CAPTURE(unread_upload);
  RawServer server([&](RawConnection& connection, int) {
    connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello");
    connection.Reset();
  });
  Client client({"127.0.0.1", server.port()});
  Request request = Get("/a");
  if (unread_upload) {
    request.method = "POST";
    request.body = std::string(std::size_t{24} << 20, 'u');
  }
  CHECK(client.Send(request, kHangLimit, false).result ==
        ExchangeResult::kBroken);
}

TEST_CASE("a clean end completes a body beside an unread upload") {
  RawServer server([&](RawConnection& connection, int) {
    connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello");
    connection.CloseSend();
    connection.ReadToEnd();
  });
  Client client({"127.0.0.1", server.port()});
  Request request = Get("/a");
  request.method = "POST";
  request.body = std::string(std::size_t{24} << 20, 'u');
  const Exchange exchange = client.Send(request, kHangLimit, false);
  CHECK(exchange.result == ExchangeResult::kComplete);
  CHECK(exchange.response.body == "hello");
}

// Guards against bytes that are no response, or are framed in a way that is not
// understood, and pass as one.
TEST_CASE("an invalid response head is an error") {
  const std::string head = GENERATE(
      "HTTP/1.1 000 Said\r\n", "HTTP/1.1 099 Said\r\n", "HTTP/1.1 600 Said\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
      "HTTP/1.1 200 OK\r\nX A: 1\r\n", "HTTP/1.1 200 OK\r\nX-A : 1\r\n",
      "HTTP/1.1 200 OK\r\nX\x01: 1\r\n", "HTTP/1.1 200 OK\r\n: 1\r\n",
      "HTTP/1.1 103 Early\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n");
  CAPTURE(head);
  CHECK(ExchangeWith(head + "Content-Length: 5\r\n\r\nhello").result ==
        ExchangeResult::kBroken);
}

TEST_CASE("response headers that do not fit are an error, never cut") {
  const std::size_t size = GENERATE(3500, 4060, 4096, 5000, 20000);
  const Exchange exchange =
      ExchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-First: " +
                   std::string(size, 'x') + "\r\nX-Last: last\r\n\r\nhello");
  CAPTURE(size, exchange.error);
  if (exchange.result == ExchangeResult::kComplete) {
    CHECK(FindHeader(exchange.response.headers, "X-First").size() == size);
    CHECK(FindHeader(exchange.response.headers, "X-Last") == "last");
    CHECK(exchange.response.body == "hello");
  } else {
    CHECK(size > 3500);
    CHECK(exchange.result == ExchangeResult::kBroken);
  }
}

TEST_CASE("an ambiguous response length is an error") {
  const std::string headers =
      GENERATE("Content-Length: 5\r\nContent-Length: 3\r\n",
               "Content-Length: 3\r\nContent-Length: 5\r\n",
               "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
               "Content-Length: 5x\r\n");
  CAPTURE(headers);
  CHECK(ExchangeWith("HTTP/1.1 200 OK\r\n" + headers + "\r\nhello").result ==
        ExchangeResult::kBroken);
}

TEST_CASE("responses without a body are complete") {
  CHECK(ExchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD")
            .result == ExchangeResult::kComplete);
  CHECK(ExchangeWith("HTTP/1.1 204 No Content\r\n\r\n").result ==
        ExchangeResult::kComplete);
  CHECK(ExchangeWith("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n")
            .result == ExchangeResult::kComplete);
}

TEST_CASE("a response to HEAD leaves the connection usable") {
  RawServer server([](RawConnection& connection, int) {
    connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  Client client({"127.0.0.1", server.port()});
  Request head = Get("/a");
  head.method = "HEAD";
  CHECK(client.Send(head, milliseconds(2000), true).result ==
        ExchangeResult::kComplete);
  const Exchange next = client.Send(Get("/b"), milliseconds(2000), true);
  CHECK(next.result == ExchangeResult::kComplete);
  CHECK(next.response.body == "ok");
}

TEST_CASE("a refused connection means that nothing was sent") {
  std::uint16_t port = 0;
  {
    const RawServer server([](RawConnection&, int) {});
    port = server.port();
  }
  Client client({"127.0.0.1", port});
  CHECK(client.Send(Get("/a"), kHangLimit, true).result ==
        ExchangeResult::kNotSent);
}

TEST_CASE("a silent server ends in a time-out") {
  std::atomic<bool> stop = false;
  RawServer server([&](RawConnection& connection, int) {
    connection.ReadUntil("\r\n\r\n");
    while (!stop)
      std::this_thread::sleep_for(milliseconds(1));
  });
  Client client({"127.0.0.1", server.port()});
  CHECK(client.Send(Get("/a"), milliseconds(50), true).result ==
        ExchangeResult::kTimedOut);
  stop = true;
}

/// A server that answers the first request of the first connection and breaks
/// off at the second, after reading it.
class BreakingServer {
 public:
  BreakingServer()
      : server_([this](RawConnection& connection, int number) {
          if (connection.ReadUntil("\r\n\r\n").empty())
            return;
          ++received_;
          connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
          if (number > 0)
            return;
          if (!connection.ReadUntil("\r\n\r\n").empty())
            ++received_;
        }) {}

  std::uint16_t port() const { return server_.port(); }
  int received() const { return received_; }

 private:
  std::atomic<int> received_ = 0;
  RawServer server_;
};

TEST_CASE("a request on a kept connection that breaks is not sent again") {
  const BreakingServer server;
  Client client({"127.0.0.1", server.port()});
  CHECK(client.Send(Get("/a"), kHangLimit, true).result ==
        ExchangeResult::kComplete);
  CHECK(client.Send(Get("/b"), kHangLimit, true).result ==
        ExchangeResult::kBroken);
  CHECK(server.received() == 2);
}

TEST_CASE("a header with a line break is not sent") {
  const RawServer server([](RawConnection&, int) {});
  Client client({"127.0.0.1", server.port()});
  Request request = Get("/a");
  request.headers.push_back({"X-A", "a\r\nX-Injected: b"});
  CHECK(client.Send(request, kHangLimit, false).result ==
        ExchangeResult::kNotSent);
}

TEST_CASE("a request on a fresh connection is sent once") {
  std::atomic<int> received = 0;
  RawServer server([&](RawConnection& connection, int number) {
    if (connection.ReadUntil("\r\n\r\n").empty())
      return;
    ++received;
    if (number == 0)
      connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  Client client({"127.0.0.1", server.port()});
  CHECK(client.Send(Get("/a"), kHangLimit, true).result ==
        ExchangeResult::kComplete);
  CHECK(client.Send(Get("/b"), kHangLimit, false).result ==
        ExchangeResult::kBroken);
  CHECK(received == 2);
}

}  // namespace
}  // namespace yuccastair::http
