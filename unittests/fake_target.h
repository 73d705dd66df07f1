// A small HTTP target on a loopback socket that fails on demand. It counts the
// requests it has read, so that tests detect side effects at the target.

#ifndef YUCCASTAIR_UNITTESTS_FAKE_TARGET_H_
#define YUCCASTAIR_UNITTESTS_FAKE_TARGET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "yuccastair/support/address.h"

namespace yuccastair {

/// Serves each connection on its own thread.
class FakeTarget {
 public:
  enum class Action {
    kRespond,
    /// Closes the connection after reading the request.
    kClose,
    /// Sends a shorter body than its Content-Length, then closes.
    kRespondTruncated,
    /// Responds after Release() was called.
    kRespondOnRelease,
    /// Reads the request and never responds; the connection stays open.
    kSilent,
    /// Closes the connection and stops listening, like a crashed process.
    kCrash,
  };
  /// Returns the action for a request, given its head and body.
  using Behaviour = std::function<Action(const std::string& request)>;

  explicit FakeTarget(
      std::uint16_t port,
      Behaviour behaviour = [](const std::string&) { return Action::kRespond; })
      : port_(port), behaviour_(std::move(behaviour)) {
    Listen();
    accept_thread_ = std::thread([this] { Accept(); });
  }

  ~FakeTarget() {
    Release();
    stopping_ = true;
    shutdown(listen_fd_, SHUT_RDWR);
    accept_thread_.join();
    std::vector<std::thread> threads;
    {
      std::lock_guard lock(mutex_);
      for (const int fd : connection_fds_)
        shutdown(fd, SHUT_RDWR);
      threads = std::move(connection_threads_);
    }
    for (std::thread& thread : threads)
      thread.join();
    for (const int fd : connection_fds_)
      close(fd);
    close(listen_fd_);
  }
  FakeTarget(const FakeTarget&) = delete;
  FakeTarget& operator=(const FakeTarget&) = delete;

  support::Address address() const { return {"127.0.0.1", port_}; }
  /// Returns the number of requests read so far.
  int requests() const { return requests_; }
  int connections() const {
    std::lock_guard lock(mutex_);
    return static_cast<int>(connection_fds_.size());
  }
  /// Returns the number of connections that the client closed while a request
  /// was running.
  int client_closes() const { return client_closes_; }
  /// Waits until \p count requests have been read.
  void AwaitRequests(int count) {
    std::unique_lock lock(mutex_);
    state_changed_.wait(lock, [&] { return requests_ >= count; });
  }
  void AwaitClientClose(int count) {
    std::unique_lock lock(mutex_);
    state_changed_.wait(lock, [&] { return client_closes_ >= count; });
  }
  void Release() {
    {
      std::lock_guard lock(mutex_);
      released_ = true;
    }
    state_changed_.notify_all();
  }

 private:
  void Listen() {
    listen_fd_ = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port_);
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listen_fd_, reinterpret_cast<sockaddr*>(&name), sizeof name) !=
            0 ||
        listen(listen_fd_, 64) != 0)
      throw std::runtime_error("the fake target cannot listen");
  }

  void Accept() {
    while (!stopping_) {
      const int fd = accept(listen_fd_, nullptr, nullptr);
      if (fd < 0)
        return;
      std::lock_guard lock(mutex_);
      connection_fds_.push_back(fd);
      connection_threads_.emplace_back([this, fd] { Serve(fd); });
    }
  }

  void Serve(int fd) {
    std::string request;
    while (ReadRequest(fd, request)) {
      {
        std::lock_guard lock(mutex_);
        ++requests_;
      }
      state_changed_.notify_all();
      const Action action = behaviour_(request);
      if (action == Action::kRespondOnRelease)
        AwaitRelease();
      if (action == Action::kSilent)
        AwaitClose(fd);
      if (action == Action::kCrash)
        shutdown(listen_fd_, SHUT_RDWR);
      if (action == Action::kRespond || action == Action::kRespondOnRelease)
        Send(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      if (action == Action::kRespondTruncated)
        Send(fd, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
      if (action != Action::kRespond && action != Action::kRespondOnRelease)
        break;
    }
    shutdown(fd, SHUT_RDWR);
  }

  static bool ReadRequest(int fd, std::string& request) {
    request.clear();
    while (true) {
      const std::size_t end = request.find("\r\n\r\n");
      if (end != std::string::npos &&
          request.size() >= end + 4 + ContentLength(request))
        return true;
      char buffer[4096];
      const auto count = recv(fd, buffer, sizeof buffer, 0);
      if (count <= 0)
        return false;
      request.append(buffer, static_cast<std::size_t>(count));
    }
  }

  static std::size_t ContentLength(const std::string& request) {
    const std::size_t at = request.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::stoul(request.substr(at + 16));
  }

  static void Send(int fd, const std::string& text) {
    [[maybe_unused]] const auto sent =
        send(fd, text.data(), text.size(), MSG_NOSIGNAL);
  }

  void AwaitRelease() {
    std::unique_lock lock(mutex_);
    state_changed_.wait(lock, [this] { return released_; });
  }

  void AwaitClose(int fd) {
    char byte = 0;
    if (recv(fd, &byte, 1, 0) != 0 || stopping_)
      return;
    {
      std::lock_guard lock(mutex_);
      ++client_closes_;
    }
    state_changed_.notify_all();
  }

  const std::uint16_t port_;
  const Behaviour behaviour_;
  int listen_fd_ = -1;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> requests_ = 0;
  std::atomic<int> client_closes_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable state_changed_;
  bool released_ = false;
  std::vector<int> connection_fds_;
  std::vector<std::thread> connection_threads_;
  std::thread accept_thread_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_FAKE_TARGET_H_
