// The event-driven HTTP/1.1 client with kept connections.

#ifndef YUCCASTAIR_STREAM_CLIENT_H_
#define YUCCASTAIR_STREAM_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "yuccastair/stream/body_source.h"
#include "yuccastair/stream/message_reader.h"
#include "yuccastair/stream/types.h"
#include "yuccastair/support/address.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::stream {

enum class SocketState;

/// A connection to a server that carries one request at a time.
class ClientConnection {
 public:
  explicit ClientConnection(asio::io_context& context)
      : stream_(context), reader_(stream_, buffer_) {}

  /// Every operation from now on ends at \p deadline.
  void SetDeadline(support::TimePoint deadline) {
    stream_.expires_at(deadline);
    reader_.SetDeadline(deadline);
  }
  Task<ErrorCode> Write(http::header<true> head, BodySource& source) {
    const ErrorCode error =
        co_await WriteMessage<true>(stream_, std::move(head), source, true);
    reader_.OnConnectionFailed(error);
    co_return error;
  }
  MessageReader<false>& reader() { return reader_; }
  /// Ends the operation under way, if any, with an error.
  void Close();
  /// Tells the server that no more bytes follow. An answer can still be read.
  void CloseSend();
  /// Whether the connection is open and nothing is there to be read.
  bool IsQuiet();
  /// Whether the server has closed or reset the connection. False while there
  /// are bytes to be read.
  bool IsGone();
  /// Whether nothing is left over after the message that was read last.
  bool IsClean() const { return buffer_.size() == 0; }

 private:
  friend class ConnectionPool;

  SocketState Peek();

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  MessageReader<false> reader_;
  support::Address address_;
  support::TimePoint idle_until_;
};

/// Connections by address. Used on the thread of its io_context.
class ConnectionPool {
 public:
  struct Options {
    std::chrono::milliseconds connect_timeout{500};
    /// A kept connection is not used after this pause.
    std::chrono::milliseconds max_idle{8000};
    std::size_t max_idle_per_address = 64;
  };
  struct Acquired {
    /// Null if no connection could be made.
    std::shared_ptr<ClientConnection> connection;
    ErrorCode error;
    /// Whether it has carried an earlier request.
    bool kept = false;
  };

  ConnectionPool(asio::io_context& context, Options options)
      : context_(context), options_(options) {}

  /// Returns a kept connection that shows no sign of an end, or a new one.
  Task<Acquired> Acquire(support::Address address, support::TimePoint deadline);

  /// Takes a connection back after a message was read to its end. It is closed
  /// if it cannot carry another request. \p max_idle shortens its life.
  void Release(std::shared_ptr<ClientConnection> connection,
               std::chrono::milliseconds max_idle);

  /// Number of kept connections to an address, by whether the server has
  /// closed them.
  struct KeptState {
    std::size_t open = 0;
    std::size_t closed = 0;
  };
  KeptState StateOf(const support::Address& address);
  /// Closes the kept connections to an address.
  void Drop(const support::Address& address);
  /// Closes connections that have been idle for too long.
  void CloseIdle();

 private:
  std::shared_ptr<ClientConnection> TakeKept(const std::string& key);

  asio::io_context& context_;
  const Options options_;
  // By address, most recently used last.
  std::map<std::string, std::deque<std::shared_ptr<ClientConnection>>> idle_;
};

}  // namespace yuccastair::stream

#endif  // YUCCASTAIR_STREAM_CLIENT_H_
