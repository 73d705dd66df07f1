// Connections of clients.

#include "yuccastair/stream/server.h"

#include <utility>

#include "socket_state.h"
#include "yuccastair/support/error.h"
#include "yuccastair/support/log.h"

namespace yuccastair::stream {
namespace {

constexpr int kBacklog = 1024;
// Connections that are accepted before the others are served again.
constexpr int kMaxAccepts = 64;
// Pause after accept() has failed for lack of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{20};
// What a client is still sending after an answer is read for this long, since
// closing a connection with unread bytes resets it and may destroy the answer.
constexpr std::chrono::milliseconds kLingerTime{500};
constexpr std::size_t kLingerBytes = std::size_t{1} << 20;

void SetSocketOptions(asio::ip::tcp::socket& socket) {
  ErrorCode ignored;  // The connection works without the option, only slower.
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

/// Returns whether the header says in one way where the body ends. Two servers
/// could understand anything else differently, and a request could be smuggled
/// in the difference.
bool HasClearEnd(const http::header<true>& head) {
  const auto lengths = head.count(http::field::content_length);
  const auto codings = head.count(http::field::transfer_encoding);
  // A list such as "3,3" counts as several lengths.
  if (lengths + codings > 1 ||
      head[http::field::content_length].find(',') != beast::string_view::npos)
    return false;
  return codings == 0 ||
         beast::iequals(head[http::field::transfer_encoding], "chunked");
}

Task<void> Linger(beast::tcp_stream& stream) {
  ErrorCode ignored;  // The client may have closed the connection already.
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream.expires_after(kLingerTime);
  std::string sink(kPieceBytes, '\0');
  std::size_t read = 0;
  while (read < kLingerBytes) {
    auto [error, bytes] =
        co_await stream.async_read_some(asio::buffer(sink), kAsTuple);
    if (error)
      co_return;
    read += bytes;
  }
}

}  // namespace

ServerExchange::ServerExchange(beast::tcp_stream& stream,
                               beast::flat_buffer& buffer,
                               const ServerLimits& limits)
    : stream_(stream), reader_(stream, buffer), limits_(limits) {}

bool ServerExchange::is_head() const {
  return reader_.head().method() == http::verb::head;
}

Task<ErrorCode> ServerExchange::ReadBody(BodySource& source) {
  source.length = reader_.content_length();
  if (source.length && *source.length > limits_.max_body_bytes) {
    body_too_large_ = true;
    co_return http::error::body_limit;
  }
  if (!reader_.is_done() &&
      beast::iequals(head()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> proceed{http::status::continue_, 11};
    auto [error, bytes] =
        co_await http::async_write(stream_, proceed, kAsTuple);
    if (error)
      co_return error;
  }
  stream_.expires_after(limits_.idle_timeout);
  const ErrorCode error =
      co_await reader_.ReadUpTo(source.begin, kHeldBodyBytes);
  if (error)
    co_return error;
  body_read_ = source.begin.size();
  if (body_read_ > limits_.max_body_bytes) {
    body_too_large_ = true;
    co_return http::error::body_limit;
  }
  if (!reader_.is_done()) {
    source.more = [this](std::string& out, bool& done) {
      return ReadMore(out, done);
    };
  } else if (!source.length && reader_.chunked()) {
    source.length = source.begin.size();
  }
  co_return ErrorCode();
}

Task<ErrorCode> ServerExchange::ReadMore(std::string& out, bool& done) {
  stream_.expires_after(limits_.idle_timeout);
  const std::size_t before = out.size();
  const ErrorCode error = co_await reader_.ReadSome(out, kPieceBytes);
  if (error)
    co_return error;
  body_read_ += out.size() - before;
  if (body_read_ > limits_.max_body_bytes) {
    body_too_large_ = true;
    co_return http::error::body_limit;
  }
  done = reader_.is_done();
  co_return ErrorCode();
}

void ServerExchange::Watch(std::function<void()> on_gone) {
  watcher_ = std::make_shared<Watcher>(Watcher{std::move(on_gone)});
  // The watcher outlives the exchange if the handler runs after its end.
  auto& socket = stream_.socket();
  socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [watcher = watcher_, &socket](ErrorCode error) {
        // Bytes of a next request are no sign of an end.
        if (error || !watcher->on_gone || StateOf(socket) != SocketState::kGone)
          return;
        std::exchange(watcher->on_gone, nullptr)();
      });
}

void ServerExchange::StopWatching() {
  if (!watcher_)
    return;
  watcher_->on_gone = nullptr;
  watcher_.reset();
  ErrorCode ignored;  // Fails only on a closed socket, which waits for nothing.
  stream_.socket().cancel(ignored);
}

bool ServerExchange::IsClientGone() {
  return StateOf(stream_.socket()) == SocketState::kGone;
}

Task<ErrorCode> ServerExchange::Respond(http::header<false> head,
                                        BodySource& source) {
  StopWatching();
  answered_ = true;
  // The rest of a body that nobody read would be taken for the next request.
  if (!reader_.is_done())
    close_ = true;
  head.version(11);
  stream_.expires_after(limits_.idle_timeout);
  const bool keep_alive = !close_ && reader_.keep_alive();
  close_ = !keep_alive;
  const ErrorCode error = co_await WriteMessage<false>(stream_, std::move(head),
                                                       source, keep_alive);
  if (error)
    Abort();
  co_return error;
}

Task<ErrorCode> ServerExchange::RespondText(http::header<false> head,
                                            std::string text) {
  BodySource source;
  source.length = text.size();
  if (!is_head())
    source.begin = std::move(text);
  co_return co_await Respond(std::move(head), source);
}

void ServerExchange::Abort() {
  StopWatching();
  close_ = true;
  answered_ = true;
  ErrorCode ignored;  // Closing cannot be retried.
  stream_.socket().close(ignored);
}

Server::Server(asio::io_context& context,
               const support::Address& listen,
               Handler handler)
    : context_(context), acceptor_(context), handler_(std::move(handler)) {
  const auto endpoint = ToEndpoint(listen);
  ErrorCode error;
  acceptor_.open(endpoint.protocol(), error);
  if (!error)
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error)
    acceptor_.bind(endpoint, error);
  if (!error)
    acceptor_.listen(kBacklog, error);
  if (!error)
    acceptor_.non_blocking(true, error);
  if (error)
    throw support::Error("bind", listen.ToString(), error.message());
  asio::co_spawn(context_, Accept(), asio::detached);
}

std::uint16_t Server::port() const {
  return acceptor_.local_endpoint().port();
}

void Server::CloseIdle() {
  for (beast::tcp_stream* stream : idle_) {
    // Bytes that have arrived are a request, which is answered.
    if (StateOf(stream->socket()) != SocketState::kReadable)
      stream->cancel();
  }
}

void Server::StopListening() {
  draining_ = true;
  CloseIdle();
  ErrorCode ignored;  // Closing cannot be retried.
  acceptor_.close(ignored);
}

Task<void> Server::Accept() {
  while (acceptor_.is_open()) {
    auto [error] = co_await acceptor_.async_wait(
        asio::ip::tcp::acceptor::wait_read, kAsTuple);
    if (error == asio::error::operation_aborted)
      co_return;
    if (!error)
      error = AcceptWaiting();
    if (error) {
      support::LogWarning("server.accept_failed", {{"error", error.message()}});
      asio::steady_timer timer(context_, kAcceptPause);
      co_await timer.async_wait(kAsTuple);
    }
  }
}

/// Accepts all connections that wait. Accepted one by one, each would wait
/// until all others have been served once.
ErrorCode Server::AcceptWaiting() {
  for (int i = 0; i < kMaxAccepts; ++i) {
    ErrorCode error;
    asio::ip::tcp::socket socket = acceptor_.accept(error);
    if (error == asio::error::would_block)
      return {};
    // The client has given up meanwhile.
    if (error == asio::error::connection_aborted)
      continue;
    if (error)
      return error;
    SetSocketOptions(socket);
    asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
  }
  return {};
}

Task<void> Server::Serve(asio::ip::tcp::socket socket) {
  ++connections_;
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  std::optional<support::TimePoint> accepted_at = support::SteadyClock().Now();
  while (co_await ServeOne(stream, buffer,
                           std::exchange(accepted_at, std::nullopt))) {
  }
  if (stream.socket().is_open())
    co_await Linger(stream);
  --connections_;
}

/// Serves the next request. Returns whether the connection can be used again.
Task<bool> Server::ServeOne(beast::tcp_stream& stream,
                            beast::flat_buffer& buffer,
                            std::optional<support::TimePoint> accepted_at) {
  if (buffer.size() == 0) {
    stream.expires_after(limits_.idle_timeout);
    auto space = buffer.prepare(kPieceBytes);
    idle_.insert(&stream);
    auto [error, bytes] = co_await stream.async_read_some(space, kAsTuple);
    idle_.erase(&stream);
    // A request has crossed the end of the wait.
    if (error == asio::error::operation_aborted &&
        StateOf(stream.socket()) == SocketState::kReadable)
      co_return true;
    if (error) {
      ErrorCode ignored;  // Closing cannot be retried.
      stream.socket().close(ignored);
      co_return false;
    }
    buffer.commit(bytes);
  }
  ServerExchange exchange(stream, buffer, limits_);
  if (accepted_at) {
    exchange.first_request_wait_ = std::chrono::ceil<std::chrono::milliseconds>(
        support::SteadyClock().Now() - *accepted_at);
  }
  stream.expires_after(limits_.header_timeout);
  ErrorCode error =
      co_await exchange.reader_.ReadHead(limits_.max_header_bytes);
  if (!error && !HasClearEnd(exchange.head()))
    error = http::error::bad_content_length;
  if (error) {
    if (error == http::error::end_of_stream || !stream.socket().is_open())
      co_return false;
    http::header<false> head;
    head.result(error == http::error::header_limit
                    ? http::status::request_header_fields_too_large
                    : http::status::bad_request);
    http::response<http::empty_body> answer(std::move(head));
    answer.keep_alive(false);
    answer.prepare_payload();
    stream.expires_after(kLingerTime);
    co_await http::async_write(stream, answer, kAsTuple);
    co_return false;
  }
  stream.expires_never();
  if (draining_)
    exchange.CloseAfterAnswer();
  ++active_;
  try {
    co_await handler_(exchange);
  } catch (const std::exception& failure) {
    support::LogError("server.handler_failed", {{"error", failure.what()}});
    exchange.Abort();
  }
  --active_;
  exchange.StopWatching();
  if (!exchange.answered())
    exchange.Abort();
  co_return !exchange.close_ && stream.socket().is_open();
}

}  // namespace yuccastair::stream
