// Parses one HTTP/1.1 response and knows when it is whole.

#ifndef YUCCASTAIR_HTTP_RESPONSE_PARSER_H_
#define YUCCASTAIR_HTTP_RESPONSE_PARSER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "yuccastair/http/message.h"

namespace yuccastair::http {

/// Takes the bytes of one response in pieces of any size (RFC 9112, section 6).
///
/// A response that ends early, has contradicting lengths or is not HTTP fails;
/// it never counts as complete. Interim responses (1xx) are skipped.
class ResponseParser {
 public:
  /// \p method is that of the request; a response to HEAD has no body.
  explicit ResponseParser(const std::string& method);

  void Consume(std::string_view bytes);

  /// The server has closed the connection after its last byte.
  void OnClose();

  /// The connection broke, so that even a response until its end is not whole.
  void OnReset();

  bool complete() const { return state_ == State::kComplete; }
  bool failed() const { return state_ == State::kFailed; }
  const std::string& error() const { return error_; }

  /// Returns whether the connection can carry another exchange.
  bool keep_alive() const { return complete() && keep_alive_; }

  /// The response; of use when it is complete.
  Response& response() { return response_; }

 private:
  enum class State {
    kHead,
    kLength,
    kUntilClose,
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailer,
    kComplete,
    kFailed,
  };

  // Each returns whether it got further with what is in buffer_.
  bool Step();
  bool ReadHead();
  bool ReadBytes(State next);
  bool ReadChunkSize();
  bool ReadChunkEnd();
  bool ReadTrailer();

  bool ParseStatusLine(std::string_view line);
  bool ParseHeaderLine(std::string_view line);
  void ChooseFraming();
  std::optional<std::string> TakeLine();
  void Fail(const std::string& error);

  const bool head_request_;
  State state_ = State::kHead;
  // Received and not parsed yet; at most kMaxHeadBytes while in a head.
  std::string buffer_;
  // Bytes of the body or chunk that are still to come.
  std::size_t left_ = 0;
  bool keep_alive_ = false;
  bool http_1_0_ = false;
  Response response_;
  std::string error_;
};

}  // namespace yuccastair::http

#endif  // YUCCASTAIR_HTTP_RESPONSE_PARSER_H_
