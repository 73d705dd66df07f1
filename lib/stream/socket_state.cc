// Peeks at a socket.

#include "socket_state.h"

#include <sys/socket.h>

#include <cerrno>

namespace yuccastair::stream {

SocketState StateOf(asio::ip::tcp::socket& socket) {
  ErrorCode ignored;  // For callers to which any end is the same.
  return StateOf(socket, ignored);
}

SocketState StateOf(asio::ip::tcp::socket& socket, ErrorCode& error) {
  char byte = 0;
  const auto got =
      recv(socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0)
    return SocketState::kReadable;
  if (got == 0)
    return SocketState::kGone;
  if (errno == EAGAIN || errno == EINTR)
    return SocketState::kQuiet;
  error = ErrorCode(errno, boost::system::system_category());
  return SocketState::kGone;
}

}  // namespace yuccastair::stream
