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
///
/// A planned stop calls StartDraining(), RefuseRequests() and StopListening()
/// in this order.
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
    /// Must not block. \p status is 503 for overload and after
    /// RefuseRequests(), and 413 for a body over max_body_bytes.
    std::function<Response(const Request&, int status)> on_refused;
  };

  /// Starts listening. Throws Error with step "bind" if the address cannot be
  /// bound.
  explicit Server(Options options);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Closes each connection after its next answer.
  void StartDraining();
  /// Refuses the requests that are not in a handler yet, and closes idle
  /// connections. Requests in a handler are finished. When this returns,
  /// unanswered() can only fall.
  void RefuseRequests();
  /// Stops listening and closes idle connections.
  void StopListening();

  /// Requests that were handed to a handler and whose answer is not written.
  std::size_t unanswered() const;
  /// Open connections, those included whose last answer is on its way.
  std::size_t connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccastair::http

#endif  // YUCCASTAIR_HTTP_SERVER_H_
