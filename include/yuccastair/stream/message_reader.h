// Reads one HTTP message from a connection, its body in pieces.

#ifndef YUCCASTAIR_STREAM_MESSAGE_READER_H_
#define YUCCASTAIR_STREAM_MESSAGE_READER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "yuccastair/stream/response_rules.h"
#include "yuccastair/stream/types.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::stream {

/// One message after the other on a connection. The owner sets the deadline of
/// the stream; when it passes, the operation under way ends with
/// beast::error::timeout and the connection is closed.
template <bool kIsRequest>
class MessageReader {
 public:
  MessageReader(beast::tcp_stream& stream, beast::flat_buffer& buffer)
      : stream_(stream), buffer_(buffer) {}

  /// The connection has failed in an operation other than a read. A message
  /// without a length that its end would complete is incomplete then.
  void OnConnectionFailed(const ErrorCode& error) { failure_.Record(error); }

  /// Reading a body fails with a time-out from then on. The time-out of the
  /// stream only ends an operation that waits, and none does while bytes keep
  /// coming.
  void SetDeadline(support::TimePoint deadline) { deadline_ = deadline; }

  /// Reads the header of the next message. \p headless states that the message
  /// has no body whatever its header says (an answer to HEAD).
  Task<ErrorCode> ReadHead(std::uint32_t header_limit, bool headless = false) {
    parser_.emplace();
    parser_->header_limit(header_limit);
    // Lines between the chunks of a body have no limit of their own.
    buffer_.max_size(
        std::max(buffer_.size(), std::size_t{header_limit} + kFrameBytes));
    parser_->body_limit(boost::none);
    if constexpr (!kIsRequest)
      parser_->skip(headless);
    auto [error, bytes] =
        co_await http::async_read_header(stream_, buffer_, *parser_, kAsTuple);
    if constexpr (!kIsRequest) {
      if (!error)
        co_return FindHeadError(parser_->get().base());
    }
    co_return error;
  }

  /// Appends some of the body to \p out, at most \p max bytes. Returns an error
  /// if the message does not arrive whole. An end of the connection completes
  /// only a message without a length.
  Task<ErrorCode> ReadSome(std::string& out, std::size_t max) {
    if (parser_->is_done())
      co_return ErrorCode();
    if (support::SteadyClock().Now() >= deadline_)
      co_return beast::error::timeout;
    const std::size_t before = out.size();
    out.resize(before + max);
    auto& body = parser_->get().body();
    body.data = out.data() + before;
    body.size = max;
    body.more = true;
    auto [error, bytes] =
        co_await http::async_read_some(stream_, buffer_, *parser_, kAsTuple);
    out.resize(before + max - parser_->get().body().size);
    if (error == http::error::need_buffer)
      error = {};
    if (!error && parser_->is_done() && parser_->need_eof())
      error = failure_.error_at_end();
    co_return error;
  }

  /// Reads the body to its end or until \p out has \p max bytes.
  Task<ErrorCode> ReadUpTo(std::string& out, std::size_t max) {
    while (!parser_->is_done() && out.size() < max) {
      std::size_t room = std::min(kReadSize, max - out.size());
      // Most bodies are short and say how short.
      if (const auto left = parser_->content_length_remaining())
        room = static_cast<std::size_t>(
            std::min<std::uint64_t>(room, std::max<std::uint64_t>(*left, 1)));
      const ErrorCode error = co_await ReadSome(out, room);
      if (error)
        co_return error;
    }
    co_return ErrorCode();
  }

  bool is_done() const { return parser_->is_done(); }
  /// Whether the end of the connection ends the message.
  bool need_eof() const { return parser_->need_eof(); }
  bool keep_alive() const { return parser_->keep_alive(); }
  bool chunked() const { return parser_->chunked(); }
  /// The announced length of the body; nothing for a chunked one.
  std::optional<std::uint64_t> content_length() const {
    const auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
  }
  auto& head() { return parser_->get(); }
  const auto& head() const { return parser_->get(); }

 private:
  // One read takes what a typical message has.
  static constexpr std::size_t kReadSize = 16384;
  // Held of a message beside its header: a piece of the body, its chunk lines
  // and trailers.
  static constexpr std::size_t kFrameBytes = std::size_t{256} << 10;

  beast::tcp_stream& stream_;
  beast::flat_buffer& buffer_;
  std::optional<http::parser<kIsRequest, http::buffer_body>> parser_;
  support::TimePoint deadline_ = support::TimePoint::max();
  ConnectionFailure failure_;
};

}  // namespace yuccastair::stream

#endif  // YUCCASTAIR_STREAM_MESSAGE_READER_H_
