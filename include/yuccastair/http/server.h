// Serves HTTP/1.1 on one address through the cxxtools server.

#ifndef YUCCASTAIR_HTTP_SERVER_H_
#define YUCCASTAIR_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "yuccastair/http/message.h"
#include "yuccastair/support/address.h"

namespace yuccastair::http {

/// An HTTP server that calls a blocking handler on a thread of its own for each
/// request.
///
/// A cxxtools thread stays with its connection while requests keep coming, and
/// past its thread maximum the library queues connections without order or
/// bound. So there are more threads than requests in flight: a request beyond
/// Options::max_in_flight is answered by Options::on_overload at once and its
/// connection is closed, which frees the thread.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  struct Options {
    support::Address listen;
    std::size_t max_in_flight = 512;
    std::size_t reserve_threads = 64;
    std::size_t max_body_bytes = std::size_t{1} << 20;
    std::chrono::milliseconds keep_alive_timeout{15000};
    std::chrono::milliseconds read_timeout{5000};
    Handler on_request;
    /// Must not block. \p status is 503 for overload and 413 for a body over
    /// max_body_bytes.
    std::function<Response(const Request&, int status)> on_refused;
  };

  /// Starts listening. Throws Error with step "listen" if the address cannot be
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
