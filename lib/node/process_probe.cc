// Makes one connection attempt to detect whether a process listens.

#include "process_probe.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace yuccastair::node {
namespace {

constexpr int kConnectTimeoutMs = 100;

int ConnectError(int fd, const sockaddr_in& destination) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  if (connect(fd, reinterpret_cast<const sockaddr*>(&destination),
              sizeof(destination)) == 0)
    return 0;
  if (errno != EINPROGRESS)
    return errno;
  pollfd connecting{fd, POLLOUT, 0};
  if (poll(&connecting, 1, kConnectTimeoutMs) != 1)
    return ETIMEDOUT;
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    return errno;
  return error;
}

}  // namespace

bool IsProcessStopped(const support::Address& address) {
  sockaddr_in destination{};
  destination.sin_family = AF_INET;
  destination.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &destination.sin_addr) != 1)
    return false;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  const bool stopped = ConnectError(fd, destination) == ECONNREFUSED;
  close(fd);
  return stopped;
}

}  // namespace yuccastair::node
