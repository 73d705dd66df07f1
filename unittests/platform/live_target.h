// A target whose process can end and start again.

#ifndef YUCCASTAIR_UNITTESTS_PLATFORM_LIVE_TARGET_H_
#define YUCCASTAIR_UNITTESTS_PLATFORM_LIVE_TARGET_H_

#include <fcntl.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/write.hpp>

#include "yuccastair/stream/types.h"
#include "yuccastair/support/address.h"

namespace yuccastair {

class LiveTarget {
 public:
  /// Runs a request and returns the status of its answer; 0 ends the process.
  using Work = std::function<stream::Task<unsigned>(const std::string& path,
                                                    const std::string& id)>;

  /// A process that has ended is back after \p down_time.
  LiveTarget(stream::asio::io_context& context,
             Work work,
             std::chrono::milliseconds down_time)
      : context_(context),
        work_(std::move(work)),
        down_time_(down_time),
        acceptor_(context) {
    Start();
    port_ = acceptor_.local_endpoint().port();
  }

  support::Address address() const { return {"127.0.0.1", port_}; }
  bool up() const { return acceptor_.is_open(); }
  /// Number of starts.
  int process() const { return process_; }
  int answered() const { return answered_; }

  /// Ends the process with all that it runs.
  void End() {
    if (!up())
      return;
    acceptor_.close();
    for (const auto& socket : sockets_) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
    sockets_.clear();
    stream::asio::co_spawn(context_, StartLater(), stream::asio::detached);
  }

 private:
  using Socket = stream::asio::ip::tcp::socket;

  /// Processes that the test starts must not hold the target's sockets open.
  static void CloseOnExec(int descriptor) {
    fcntl(descriptor, F_SETFD, FD_CLOEXEC);
  }

  void Start() {
    const stream::asio::ip::tcp::endpoint endpoint(
        stream::asio::ip::make_address("127.0.0.1"), port_);
    acceptor_.open(endpoint.protocol());
    CloseOnExec(acceptor_.native_handle());
    acceptor_.set_option(stream::asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    ++process_;
    stream::asio::co_spawn(context_, Accept(), stream::asio::detached);
  }

  stream::Task<void> StartLater() {
    stream::asio::steady_timer timer(context_, down_time_);
    co_await timer.async_wait(stream::kAsTuple);
    Start();
  }

  stream::Task<void> Accept() {
    while (true) {
      auto [error, accepted] =
          co_await acceptor_.async_accept(stream::kAsTuple);
      if (error)
        co_return;
      CloseOnExec(accepted.native_handle());
      sockets_.push_back(std::make_shared<Socket>(std::move(accepted)));
      stream::asio::co_spawn(context_, Serve(sockets_.back()),
                             stream::asio::detached);
    }
  }

  stream::Task<void> Serve(std::shared_ptr<Socket> socket) {
    std::string received;
    std::string piece(4096, '\0');
    while (true) {
      std::size_t end = std::string::npos;
      while ((end = received.find("\r\n\r\n")) == std::string::npos) {
        auto [error, bytes] = co_await socket->async_read_some(
            stream::asio::buffer(piece), stream::kAsTuple);
        if (error)
          co_return;
        received.append(piece, 0, bytes);
      }
      const std::string head = received.substr(0, end + 2);
      received.erase(0, end + 4);
      const std::size_t path = head.find(' ') + 1;
      const std::string name = "X-Attempt-Id: ";
      const std::size_t at = head.find(name) + name.size();
      const std::string id = head.substr(at, head.find("\r\n", at) - at);
      const unsigned status =
          co_await work_(head.substr(path, head.find(' ', path) - path), id);
      if (status == 0) {
        End();
        co_return;
      }
      std::string answer = "HTTP/1.1 " + std::to_string(status) + " Done\r\n";
      answer += name + id;
      answer += "\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
      auto [error, bytes] = co_await stream::asio::async_write(
          *socket, stream::asio::buffer(answer), stream::kAsTuple);
      if (error)
        co_return;
      ++answered_;
    }
  }

  stream::asio::io_context& context_;
  const Work work_;
  const std::chrono::milliseconds down_time_;
  stream::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::list<std::shared_ptr<Socket>> sockets_;
  int process_ = 0;
  int answered_ = 0;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_PLATFORM_LIVE_TARGET_H_
