// Decides what counts as a response, for every reader of responses.

#ifndef YUCCASTAIR_STREAM_RESPONSE_RULES_H_
#define YUCCASTAIR_STREAM_RESPONSE_RULES_H_

#include "yuccastair/stream/types.h"

namespace yuccastair::stream {

/// Returns the error of a response head that the parser accepts and that no
/// server may send, or that frames its body in a way that is not supported; no
/// error for a valid one.
ErrorCode FindHeadError(const http::header<false>& head);

/// Returns whether \p error means that the bytes received are not a response,
/// as opposed to a connection that ended before the response did.
bool IsInvalidResponse(const ErrorCode& error);

/// Records how the sending side of a connection has ended. A reset is reported
/// to one operation only: if that is a write, reads see a regular end of the
/// connection afterwards.
class ConnectionFailure {
 public:
  /// Records the error of an operation other than a read of the response.
  void Record(const ErrorCode& error) {
    // A server that has ended its response may close the connection before it
    // has read the request. Writes then fail with a broken pipe.
    if (error && error != asio::error::broken_pipe)
      error_ = error;
  }
  /// Returns the error with which a response ends that has no length and whose
  /// connection seems to have ended regularly.
  const ErrorCode& error_at_end() const { return error_; }

 private:
  ErrorCode error_;
};

}  // namespace yuccastair::stream

#endif  // YUCCASTAIR_STREAM_RESPONSE_RULES_H_
