// Peeks at a socket.

#include "socket_state.h"

#include <sys/socket.h>

#include <cerrno>

namespace yuccastair::stream {

SocketState StateOf(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto got =
      recv(socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0)
    return SocketState::kReadable;
  const bool quiet = got < 0 && (errno == EAGAIN || errno == EINTR);
  return quiet ? SocketState::kQuiet : SocketState::kGone;
}

}  // namespace yuccastair::stream
