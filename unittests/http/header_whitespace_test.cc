// Guards against a header name with a space before its colon, which servers
// understand differently and which RFC 9112 tells to refuse with 400.

#include <catch2/catch.hpp>
#include <string>

#include "raw_socket.h"
#include "yuccastair/http/server.h"

namespace yuccastair::http {
namespace {

TEST_CASE("a space before the colon of Content-Length gets 400") {
  constexpr std::uint16_t kPort = 29012;
  Server::Options options;
  options.listen = {"127.0.0.1", kPort};
  options.on_request = [](const Request&) { return Response{}; };
  options.on_refused = [](const Request&, int status) {
    return Response{status, {}, "", true};
  };
  const Server server(std::move(options));
  RawConnection connection = RawConnection::To(kPort);
  connection.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
      "Content-Length : 3\r\n\r\n123");
  CHECK(connection.ReadToEnd().substr(0, 12) == "HTTP/1.1 400");
}

}  // namespace
}  // namespace yuccastair::http
