// A port to which no connection can be made, for tests of cut paths.

#ifndef YUCCASTAIR_UNITTESTS_DROPPED_CONNECTIONS_H_
#define YUCCASTAIR_UNITTESTS_DROPPED_CONNECTIONS_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace yuccastair {

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

class Descriptor {
 public:
  explicit Descriptor(int flags = 0)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0)) {}
  ~Descriptor() { close(fd_); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  const int fd_;
};

/// Listens with the shortest queue of new connections that there is.
inline void Listen(const Descriptor& listener, std::uint16_t port) {
  const int on = 1;
  setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = LoopbackAddress(port);
  REQUIRE(bind(listener.get(), reinterpret_cast<sockaddr*>(&address),
               sizeof address) == 0);
  REQUIRE(listen(listener.get(), 0) == 0);
}

/// A port whose queue of new connections is full, so that the kernel drops the
/// first packet of each further one, as a cut path does.
class DroppedConnections {
 public:
  explicit DroppedConnections(std::uint16_t port) {
    Listen(listener_, port);
    sockaddr_in address = LoopbackAddress(port);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    for (int i = 0; i < kFillers; ++i) {
      fillers_.push_back(std::make_unique<Descriptor>(SOCK_NONBLOCK));
      // Stays under way: nobody accepts it.
      (void)connect(fillers_.back()->get(), generic, sizeof address);
    }
  }

 private:
  // More than the queue holds.
  static constexpr int kFillers = 3;

  Descriptor listener_;
  std::vector<std::unique_ptr<Descriptor>> fillers_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_DROPPED_CONNECTIONS_H_
