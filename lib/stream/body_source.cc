// Writes messages, whole or in pieces.

#include "yuccastair/stream/body_source.h"

#include <utility>

namespace yuccastair::stream {
namespace {

template <bool kIsRequest>
Task<ErrorCode> WritePieces(
    beast::tcp_stream& stream,
    http::message<kIsRequest, http::buffer_body> message,
    BodySource& source) {
  http::serializer<kIsRequest, http::buffer_body> serializer(message);
  std::string piece = std::move(source.begin);
  bool done = false;
  while (true) {
    message.body().data = piece.data();
    message.body().size = piece.size();
    message.body().more = !done;
    auto [error, bytes] =
        co_await http::async_write(stream, serializer, kAsTuple);
    if (error && error != http::error::need_buffer)
      co_return error;
    if (done)
      co_return ErrorCode();
    piece.clear();
    while (piece.empty() && !done) {
      const ErrorCode read_error = co_await source.more(piece, done);
      if (read_error)
        co_return read_error;
    }
  }
}

}  // namespace

template <bool kIsRequest>
Task<ErrorCode> WriteMessage(beast::tcp_stream& stream,
                             http::header<kIsRequest> head,
                             BodySource& source,
                             bool keep_alive) {
  if (source.whole()) {
    http::message<kIsRequest, http::string_body> message(std::move(head));
    message.keep_alive(keep_alive);
    // A request may have to be sent again, an answer never.
    if constexpr (kIsRequest)
      message.body() = source.begin;
    else
      message.body() = std::move(source.begin);
    if (source.length)
      message.content_length(*source.length);
    auto [error, bytes] = co_await http::async_write(stream, message, kAsTuple);
    co_return error;
  }
  http::message<kIsRequest, http::buffer_body> message(std::move(head));
  message.keep_alive(keep_alive);
  if (source.length)
    message.content_length(*source.length);
  else
    message.chunked(true);
  co_return co_await WritePieces<kIsRequest>(stream, std::move(message),
                                             source);
}

template Task<ErrorCode> WriteMessage<true>(beast::tcp_stream&,
                                            http::header<true>,
                                            BodySource&,
                                            bool);
template Task<ErrorCode> WriteMessage<false>(beast::tcp_stream&,
                                             http::header<false>,
                                             BodySource&,
                                             bool);

}  // namespace yuccastair::stream
