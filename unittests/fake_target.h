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
    kAnswer,
    /// Closes the connection after reading the request.
    kClose,
    /// Sends a shorter body than its Content-Length, then closes.
    kAnswerShort,
    /// Responds after Release() was called.
    kAnswerLate,
    /// Reads the request and never responds; the connection stays open.
    kSilent,
    /// Closes the connection and stops listening, like a crashed process.
    kCrash,
  };
  /// Returns the action for a request, given its head and body.
  using Behaviour = std::function<Action(const std::string& request)>;

  explicit FakeTarget(
      std::uint16_t port,
      Behaviour behaviour = [](const std::string&) { return Action::kAnswer; })
      : port_(port), behaviour_(std::move(behaviour)) {
    Listen();
    accepting_ = std::thread([this] { Accept(); });
  }

  ~FakeTarget() {
    Release();
    stopping_ = true;
    shutdown(listening_, SHUT_RDWR);
    accepting_.join();
    std::vector<std::thread> threads;
    {
      std::lock_guard lock(mutex_);
      for (const int fd : connections_)
        shutdown(fd, SHUT_RDWR);
      threads = std::move(threads_);
    }
    for (std::thread& thread : threads)
      thread.join();
    for (const int fd : connections_)
      close(fd);
    close(listening_);
  }
  FakeTarget(const FakeTarget&) = delete;
  FakeTarget& operator=(const FakeTarget&) = delete;

  support::Address address() const { return {"127.0.0.1", port_}; }
  /// Returns the number of requests read so far.
  int requests() const { return requests_; }
  int connections() const {
    std::lock_guard lock(mutex_);
    return static_cast<int>(connections_.size());
  }
  /// Returns the number of connections that the client closed while a request
  /// was running.
  int abandoned() const { return abandoned_; }
  /// Waits until \p count requests have been read.
  void AwaitRequests(int count) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return requests_ >= count; });
  }
  void AwaitAbandoned(int count) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return abandoned_ >= count; });
  }
  void Release() {
    {
      std::lock_guard lock(mutex_);
      released_ = true;
    }
    changed_.notify_all();
  }

 private:
  void Listen() {
    listening_ = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port_);
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listening_, reinterpret_cast<sockaddr*>(&name), sizeof name) !=
            0 ||
        listen(listening_, 64) != 0)
      throw std::runtime_error("the fake target cannot listen");
  }

  void Accept() {
    while (!stopping_) {
      const int fd = accept(listening_, nullptr, nullptr);
      if (fd < 0)
        return;
      std::lock_guard lock(mutex_);
      connections_.push_back(fd);
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
  }

  void Serve(int fd) {
    std::string request;
    while (ReadRequest(fd, request)) {
      {
        std::lock_guard lock(mutex_);
        ++requests_;
      }
      changed_.notify_all();
      const Action action = behaviour_(request);
      if (action == Action::kAnswerLate)
        AwaitRelease();
      if (action == Action::kSilent)
        AwaitClose(fd);
      if (action == Action::kCrash)
        shutdown(listening_, SHUT_RDWR);
      if (action == Action::kAnswer || action == Action::kAnswerLate)
        Send(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      if (action == Action::kAnswerShort)
        Send(fd, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
      if (action != Action::kAnswer && action != Action::kAnswerLate)
        break;
    }
    shutdown(fd, SHUT_RDWR);
  }

  static bool ReadRequest(int fd, std::string& request) {
    request.clear();
    while (true) {
      const std::size_t end = request.find("\r\n\r\n");
      if (end != std::string::npos &&
          request.size() >= end + 4 + BodySize(request))
        return true;
      char buffer[4096];
      const auto count = recv(fd, buffer, sizeof buffer, 0);
      if (count <= 0)
        return false;
      request.append(buffer, static_cast<std::size_t>(count));
    }
  }

  static std::size_t BodySize(const std::string& request) {
    const std::size_t at = request.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::stoul(request.substr(at + 16));
  }

  static void Send(int fd, const std::string& text) {
    [[maybe_unused]] const auto sent =
        send(fd, text.data(), text.size(), MSG_NOSIGNAL);
  }

  void AwaitRelease() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return released_; });
  }

  void AwaitClose(int fd) {
    char byte = 0;
    if (recv(fd, &byte, 1, 0) != 0 || stopping_)
      return;
    {
      std::lock_guard lock(mutex_);
      ++abandoned_;
    }
    changed_.notify_all();
  }

  const std::uint16_t port_;
  const Behaviour behaviour_;
  int listening_ = -1;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> requests_ = 0;
  std::atomic<int> abandoned_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool released_ = false;
  std::vector<int> connections_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_FAKE_TARGET_H_
