// What a connection shows without being read.

#ifndef YUCCASTAIR_LIB_STREAM_SOCKET_STATE_H_
#define YUCCASTAIR_LIB_STREAM_SOCKET_STATE_H_

#include "yuccastair/stream/types.h"

namespace yuccastair::stream {

enum class SocketState {
  /// Nothing has arrived.
  kQuiet,
  /// Bytes wait to be read.
  kReadable,
  /// The peer has closed or reset the connection.
  kGone,
};

SocketState StateOf(asio::ip::tcp::socket& socket);

/// The same; sets \p error if the connection has failed. The socket reports the
/// failure only once, so a later read sees a regular end.
SocketState StateOf(asio::ip::tcp::socket& socket, ErrorCode& error);

}  // namespace yuccastair::stream

#endif  // YUCCASTAIR_LIB_STREAM_SOCKET_STATE_H_
