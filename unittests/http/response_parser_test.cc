// Which bytes are a whole response, whatever the pieces they come in.

#include "yuccastair/http/response_parser.h"

#include <catch2/catch.hpp>
#include <vector>

namespace yuccastair::http {
namespace {

struct Row {
  const char* method;
  std::string bytes;
  bool complete;
  std::string body;
  bool keep_alive;
};

std::string Ok(const std::string& rest) {
  return "HTTP/1.1 200 OK\r\n" + rest;
}

std::vector<Row> Rows() {
  return {
      {"GET", Ok("Content-Length: 3\r\n\r\nabc"), true, "abc", true},
      {"GET", Ok("Content-Length: 3\r\n\r\nab"), false, "", false},
      {"GET", Ok("Content-Length: 2, 3\r\n\r\nabc"), false, "", false},
      {"GET", Ok("Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc"), false,
       "", false},
      {"GET", Ok("Content-Length: -1\r\n\r\n"), false, "", false},
      {"GET", Ok("Content-Length: 0\r\nConnection: close\r\n\r\n"), true, "",
       false},
      {"GET", Ok("Content-Length: 1\r\n\r\nabc"), true, "a", false},
      {"GET", Ok("\r\nuntil the end"), true, "until the end", false},
      {"GET",
       Ok("Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n1\r\nd"
          "\r\n0\r\nTrailer: t\r\n\r\n"),
       true, "abcd", true},
      {"GET", Ok("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"), false,
       "", false},
      {"GET", Ok("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), false, "",
       false},
      {"GET", Ok("Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n"),
       false, "", false},
      {"GET", Ok("Transfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\n"),
       false, "", false},
      {"HEAD", Ok("Content-Length: 9\r\n\r\n"), true, "", true},
      {"GET", "HTTP/1.1 204 No Content\r\n\r\n", true, "", true},
      {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", true,
       "", true},
      {"GET",
       "HTTP/1.1 100 Continue\r\n\r\n" + Ok("Content-Length: 1\r\n\r\na"), true,
       "a", true},
      {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", true, "a",
       false},
      {"GET", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false, "", false},
      {"GET", "HTTP/2 200 OK\r\n\r\n", false, "", false},
      {"GET", Ok("Name : value\r\n\r\n"), false, "", false},
      {"GET", Ok("A: b\r\n folded\r\n\r\n"), false, "", false},
      {"GET", "HTTP/1.1 2", false, "", false},
      {"GET", "", false, "", false},
  };
}

// Guards against a response that was cut short and counts as whole, and against
// bytes of one response that end up in the next.
TEST_CASE("only a whole response is complete") {
  const std::size_t piece = GENERATE(1, 7, 100000);
  for (const Row& row : Rows()) {
    CAPTURE(row.bytes, piece);
    ResponseParser parser(row.method);
    for (std::size_t at = 0; at < row.bytes.size(); at += piece)
      parser.Consume(std::string_view(row.bytes).substr(at, piece));
    const bool keep_alive = parser.keep_alive();
    parser.OnClose();
    CHECK(parser.complete() == row.complete);
    CHECK(parser.failed() == !row.complete);
    CHECK(keep_alive == row.keep_alive);
    if (row.complete)
      CHECK(parser.response().body == row.body);
  }
}

TEST_CASE("a reset does not end a response without a length") {
  ResponseParser parser("GET");
  parser.Consume(Ok("\r\nabc"));
  parser.OnReset();
  CHECK(parser.failed());
}

// Guards against a target that fills the memory of its node.
TEST_CASE("an endless head fails") {
  ResponseParser parser("GET");
  parser.Consume(Ok(""));
  for (int i = 0; i < 10000 && !parser.failed(); ++i)
    parser.Consume("Name: value\r\n");
  CHECK(parser.failed());
}

}  // namespace
}  // namespace yuccastair::http
