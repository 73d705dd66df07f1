// Makes one connection attempt to detect whether a process listens.

#include "process_probe.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace yuccastair::node {
namespace {

constexpr int kConnectWaitMs = 100;

int ConnectError(int fd, const sockaddr_in& to) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0)
    return 0;
  if (errno != EINPROGRESS)
    return errno;
  pollfd waiting{fd, POLLOUT, 0};
  if (poll(&waiting, 1, kConnectWaitMs) != 1)
    return ETIMEDOUT;
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    return errno;
  return error;
}

}  // namespace

bool IsProcessGone(const support::Address& address) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &to.sin_addr) != 1)
    return false;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  const bool gone = ConnectError(fd, to) == ECONNREFUSED;
  close(fd);
  return gone;
}

}  // namespace yuccastair::node
