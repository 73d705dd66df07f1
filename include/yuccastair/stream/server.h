// The event-driven HTTP/1.1 server.

#ifndef YUCCASTAIR_STREAM_SERVER_H_
#define YUCCASTAIR_STREAM_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "yuccastair/stream/body_source.h"
#include "yuccastair/stream/message_reader.h"
#include "yuccastair/stream/types.h"
#include "yuccastair/support/address.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::stream {

/// Bounds of what a client may send; may change while the server runs.
struct ServerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = std::uint64_t{64} << 20;
  /// From the first byte of a header to its last one.
  std::chrono::milliseconds header_timeout{5000};
  /// Longest pause between two requests, and between two pieces of a body.
  std::chrono::milliseconds idle_timeout{15000};
};

/// One request of a client and its answer.
class ServerExchange {
 public:
  explicit ServerExchange(beast::tcp_stream& stream,
                          beast::flat_buffer& buffer,
                          const ServerLimits& limits);

  const http::header<true>& head() const { return reader_.head().base(); }
  bool is_head() const;

  /// Reads the body up to kHeldBodyBytes; the rest is read by the source. With
  /// an error the client has gone or sent no valid body.
  Task<ErrorCode> ReadBody(BodySource& source);

  /// Calls \p on_gone once if the client closes or resets its connection
  /// before StopWatching(). To be used while no body is read.
  void Watch(std::function<void()> on_gone);
  void StopWatching();
  /// Whether the client has closed or reset its connection. To be asked before
  /// the answer and while no body is read.
  bool IsClientGone();

  /// Sends the answer. Writes of an answer that has begun end when the client
  /// reads nothing for the idle timeout.
  Task<ErrorCode> Respond(http::header<false> head, BodySource& source);

  /// Sends a short answer of this process with \p text as the body.
  Task<ErrorCode> RespondText(http::header<false> head, std::string text);

  /// Closes the connection after the answer.
  void CloseAfterAnswer() { close_ = true; }
  /// Closes the connection at once, so that an answer under way is incomplete.
  void Abort();

  /// Time from the acceptance of the connection to its first request, which may
  /// have been on its way for as long; zero for the requests after it, which
  /// clients may send at any time.
  std::chrono::milliseconds first_request_wait() const {
    return first_request_wait_;
  }

  bool answered() const { return answered_; }
  bool body_too_large() const { return body_too_large_; }

 private:
  friend class Server;

  struct Watcher {
    std::function<void()> on_gone;
  };

  Task<ErrorCode> ReadMore(std::string& out, bool& done);

  beast::tcp_stream& stream_;
  MessageReader<true> reader_;
  const ServerLimits& limits_;
  std::shared_ptr<Watcher> watcher_;
  std::chrono::milliseconds first_request_wait_{0};
  std::uint64_t body_read_ = 0;
  bool body_too_large_ = false;
  bool close_ = false;
  bool answered_ = false;
};

/// Accepts connections and runs a coroutine for each request. Used on the
/// thread of its io_context.
class Server {
 public:
  using Handler = std::function<Task<void>(ServerExchange& exchange)>;

  /// Throws Error with step "bind" if the address cannot be bound.
  Server(asio::io_context& context,
         const support::Address& listen,
         Handler handler);

  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  /// Closes each connection after its next answer.
  void StartDraining() { draining_ = true; }
  /// Closes the connections on which no request has begun to arrive. Further
  /// connections are accepted.
  void CloseIdle();
  /// Stops listening and closes idle connections. Requests that have begun to
  /// arrive are still served.
  void StopListening();
  /// Port that is listened on, for a server that was bound to port 0.
  std::uint16_t port() const;
  /// Requests that have no answer yet.
  std::size_t active() const { return active_; }
  /// Open connections, those included whose last answer is on its way.
  std::size_t connections() const { return connections_; }

 private:
  Task<void> Accept();
  ErrorCode AcceptWaiting();
  Task<void> Serve(asio::ip::tcp::socket socket);
  /// \p accepted_at is set for the first request of the connection.
  Task<bool> ServeOne(beast::tcp_stream& stream,
                      beast::flat_buffer& buffer,
                      std::optional<support::TimePoint> accepted_at);

  asio::io_context& context_;
  asio::ip::tcp::acceptor acceptor_;
  const Handler handler_;
  ServerLimits limits_;
  bool draining_ = false;
  std::size_t active_ = 0;
  std::size_t connections_ = 0;
  // Connections that wait for the first byte of a request.
  std::set<beast::tcp_stream*> idle_;
};

}  // namespace yuccastair::stream

#endif  // YUCCASTAIR_STREAM_SERVER_H_
