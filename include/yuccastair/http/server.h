// Serves HTTP/1.1 on one address with blocking handlers.

#ifndef YUCCASTAIR_HTTP_SERVER_H_
#define YUCCASTAIR_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "yuccastair/http/message.h"
#include "yuccastair/support/address.h"

namespace yuccastair::http {

/// An HTTP server that calls a blocking handler on one of
/// Options::max_in_flight threads for each request. A request beyond them is
/// refused at once and its connection closed. Connections without a request in
/// a handler hold no thread.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  struct Options {
    support::Address listen;
    std::size_t max_in_flight = 512;
    std::size_t max_body_bytes = std::size_t{1} << 20;
    /// Longest pause between two requests, and between two pieces of a body.
    std::chrono::milliseconds keep_alive_timeout{15000};
    /// From the first byte of a header to its last one.
    std::chrono::milliseconds read_timeout{5000};
    Handler on_request;
    /// Must not block. \p status is 503 for overload and 413 for a body over
    /// max_body_bytes.
    std::function<Response(const Request&, int status)> on_refused;
  };

  /// Starts listening. Throws Error with step "bind" if the address cannot be
  /// bound.
  explicit Server(Options options);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::size_t in_flight() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccastair::http

#endif  // YUCCASTAIR_HTTP_SERVER_H_
