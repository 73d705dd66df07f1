// Plain TCP peers for the tests of the http module, which must see and send
// bytes that a well-behaved HTTP library would not.

#ifndef YUCCASTAIR_UNITTESTS_HTTP_RAW_SOCKET_H_
#define YUCCASTAIR_UNITTESTS_HTTP_RAW_SOCKET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace yuccastair::http {

// Ends a test that would otherwise hang; no test depends on its length.
constexpr std::chrono::milliseconds kHangLimit{20000};

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// One end of a TCP connection.
class RawConnection {
 public:
  explicit RawConnection(int fd) : fd_(fd) {}

  /// Connects to a port of the loopback interface.
  static RawConnection To(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = LoopbackAddress(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
      close(fd);
      throw std::runtime_error("connection refused");
    }
    return RawConnection(fd);
  }

  ~RawConnection() { Close(); }
  RawConnection(RawConnection&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)),
        pending_(std::move(other.pending_)) {}
  RawConnection& operator=(RawConnection&&) = delete;

  void Close() {
    if (fd_ >= 0)
      close(fd_);
    fd_ = -1;
  }

  /// Tells the peer that no more bytes follow.
  void CloseSend() const { shutdown(fd_, SHUT_WR); }

  /// Closes the connection so that the peer sees a reset.
  void Reset() {
    const linger abort{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    Close();
  }

  /// Returns false if the peer has closed the connection.
  bool Send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Reads until \p mark has been read and returns everything up to its end,
  /// or what came before the peer closed.
  std::string ReadUntil(const std::string& mark) {
    std::size_t found = std::string::npos;
    while ((found = pending_.find(mark)) == std::string::npos && ReadMore()) {
    }
    const std::size_t end =
        found == std::string::npos ? pending_.size() : found + mark.size();
    return Take(end);
  }

  std::string ReadBytes(std::size_t count) {
    while (pending_.size() < count && ReadMore()) {
    }
    return Take(std::min(count, pending_.size()));
  }

  std::string ReadToEnd() {
    while (ReadMore()) {
    }
    return Take(pending_.size());
  }

  /// Reads a message with its body as Content-Length tells it.
  std::string ReadMessage() {
    std::string message = ReadUntil("\r\n\r\n");
    const std::size_t at = message.find("Content-Length: ");
    if (at != std::string::npos)
      message +=
          ReadBytes(std::strtoul(message.c_str() + at + 16, nullptr, 10));
    return message;
  }

 private:
  bool ReadMore() {
    pollfd poll_fd{fd_, POLLIN, 0};
    if (poll(&poll_fd, 1, static_cast<int>(kHangLimit.count())) <= 0)
      throw std::runtime_error("the peer neither sent nor closed");
    char buffer[16384];
    const ssize_t count = recv(fd_, buffer, sizeof buffer, 0);
    if (count <= 0)
      return false;
    pending_.append(buffer, static_cast<std::size_t>(count));
    return true;
  }

  std::string Take(std::size_t count) {
    std::string taken = pending_.substr(0, count);
    pending_.erase(0, count);
    return taken;
  }

  int fd_;
  std::string pending_;
};

/// A server that runs a script for each connection and keeps what it read.
class RawServer {
 public:
  /// \p number counts the connections from 0.
  using Script = std::function<void(RawConnection& connection, int number)>;

  explicit RawServer(Script script) : script_(std::move(script)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = LoopbackAddress(0);
    socklen_t size = sizeof address;
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(listener_, 16) != 0 ||
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) !=
            0)
      throw std::runtime_error("cannot listen");
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Accept(); });
  }

  ~RawServer() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::uint16_t port() const { return port_; }

 private:
  void Accept() {
    for (int number = 0;; ++number) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0)
        return;
      RawConnection connection(fd);
      script_(connection, number);
    }
  }

  Script script_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace yuccastair::http

#endif  // YUCCASTAIR_UNITTESTS_HTTP_RAW_SOCKET_H_
