// One connection to a server, driven by poll().
//
// The client of cxxtools 3.0 is not used: it sends a request a second time when
// no response comes, takes a chunked response that was cut short for whole,
// returns no body without a length, and cannot be cancelled.

#include "yuccastair/http/client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstring>
#include <string_view>
#include <utility>

#include "yuccastair/http/response_parser.h"
#include "yuccastair/support/error.h"

namespace yuccastair::http {
namespace {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr milliseconds kConnectProbe{100};

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;
};

bool ToSocketAddress(const support::Address& address, SocketAddress& result) {
  auto* v4 = reinterpret_cast<sockaddr_in*>(&result.storage);
  if (inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port);
    result.size = sizeof *v4;
    return true;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
  if (inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr) != 1)
    return false;
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons(address.port);
  result.size = sizeof *v6;
  return true;
}

bool HasControlCharacter(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

bool HasBody(const Request& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

std::string Serialize(const Request& request, const std::string& host) {
  std::string text = request.method + ' ' + request.path + " HTTP/1.1\r\n";
  if (FindHeader(request.headers, "Host").empty())
    text += "Host: " + host + "\r\n";
  for (const Header& header : request.headers) {
    if (SameName(header.name, "Content-Length") ||
        HasControlCharacter(header.name) || HasControlCharacter(header.value))
      continue;
    text += header.name + ": " + header.value + "\r\n";
  }
  if (HasBody(request))
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  text += "\r\n";
  text += request.body;
  return text;
}

}  // namespace

class Client::Impl {
 public:
  explicit Impl(support::Address server)
      : server_(std::move(server)),
        wakeup_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (wakeup_ < 0)
      throw support::Error("create client", server_.ToString(),
                           std::strerror(errno));
  }

  ~Impl() {
    Close();
    close(wakeup_);
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Exchange Send(const Request& request,
                milliseconds timeout,
                bool reuse_connection) {
    deadline_ = SteadyClock::now() + timeout;
    Exchange exchange;
    if (HasControlCharacter(request.path) ||
        HasControlCharacter(request.method) ||
        request.path.find(' ') != std::string::npos) {
      exchange.error = "the path or method is malformed";
      return exchange;
    }
    if (!reuse_connection || !HasConnection())
      Close();
    if (fd_ < 0 && Connect(exchange.error) != ExchangeResult::kComplete) {
      Close();
      return exchange;
    }
    ResponseParser parser(request.method);
    exchange.result = Converse(Serialize(request, server_.ToString()), parser,
                               exchange.error);
    if (!parser.keep_alive() || exchange.result != ExchangeResult::kComplete)
      Close();
    if (exchange.result == ExchangeResult::kComplete)
      exchange.response = std::move(parser.response());
    return exchange;
  }

  /// Opens a connection; kTimedOut and kCancelled as for an exchange.
  ExchangeResult Connect(std::string& error) {
    SocketAddress address;
    if (!ToSocketAddress(server_, address)) {
      error = "not an IP number: " + server_.host;
      return ExchangeResult::kNotSent;
    }
    fd_ = socket(address.storage.ss_family,
                 SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd_, reinterpret_cast<sockaddr*>(&address.storage),
                address.size) == 0)
      return ExchangeResult::kComplete;
    if (errno == EINPROGRESS) {
      short ready = 0;
      const ExchangeResult result = Await(POLLOUT, ready, error);
      if (result != ExchangeResult::kComplete)
        return result;
      int status = 0;
      socklen_t size = sizeof status;
      getsockopt(fd_, SOL_SOCKET, SO_ERROR, &status, &size);
      if (status == 0)
        return ExchangeResult::kComplete;
      errno = status;
    }
    error = "connect to " + server_.ToString() + ": " + std::strerror(errno);
    return ExchangeResult::kNotSent;
  }

  void SetDeadline(milliseconds timeout) {
    deadline_ = SteadyClock::now() + timeout;
  }

  bool HasConnection() const {
    char byte = 0;
    // Bytes that nobody asked for are as bad as a closed connection.
    return fd_ >= 0 && recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void Cancel() {
    cancelled_ = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(wakeup_, &one, sizeof one);
  }

  void ResetCancel() {
    cancelled_ = false;
    DrainWakeup();
  }

 private:
  /// Writes the request and reads the response at the same time, since a server
  /// may answer before it has read everything.
  ExchangeResult Converse(const std::string& request,
                          ResponseParser& parser,
                          std::string& error) {
    std::size_t written = 0;
    while (!parser.complete()) {
      if (parser.failed()) {
        error = parser.error();
        return ExchangeResult::kBroken;
      }
      short ready = 0;
      const bool writing = written < request.size();
      const ExchangeResult result = Await(
          static_cast<short>(POLLIN | (writing ? POLLOUT : 0)), ready, error);
      if (result != ExchangeResult::kComplete)
        return result;
      if (writing && (ready & POLLOUT) != 0)
        Write(request, written);
      if ((ready & (POLLIN | POLLHUP | POLLERR)) != 0)
        Read(parser);
    }
    // The rest of the request would be taken for the next one.
    if (written < request.size())
      Close();
    return ExchangeResult::kComplete;
  }

  void Write(const std::string& request, std::size_t& written) const {
    const auto count = send(fd_, request.data() + written,
                            request.size() - written, MSG_NOSIGNAL);
    if (count > 0)
      written += static_cast<std::size_t>(count);
    // After an error, reading shows what the server had to say.
  }

  void Read(ResponseParser& parser) const {
    std::array<char, 16384> buffer;
    const auto count = recv(fd_, buffer.data(), buffer.size(), 0);
    if (count > 0)
      parser.Consume({buffer.data(), static_cast<std::size_t>(count)});
    else if (count == 0)
      parser.OnClose();
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
      parser.OnReset();
  }

  /// Waits until the socket is ready for any of \p events.
  ExchangeResult Await(short events, short& ready, std::string& error) {
    while (true) {
      if (cancelled_) {
        error = "cancelled";
        return ExchangeResult::kCancelled;
      }
      const auto left =
          std::chrono::ceil<milliseconds>(deadline_ - SteadyClock::now());
      if (left.count() <= 0) {
        error = "no response in time";
        return ExchangeResult::kTimedOut;
      }
      std::array<pollfd, 2> fds{{{fd_, events, 0}, {wakeup_, POLLIN, 0}}};
      const int count =
          poll(fds.data(), fds.size(), static_cast<int>(left.count()));
      ready = fds[0].revents;
      // A late wake-up of an exchange that has ended.
      if ((fds[1].revents & POLLIN) != 0 && !cancelled_)
        DrainWakeup();
      if (count > 0 && ready != 0 && !cancelled_)
        return ExchangeResult::kComplete;
    }
  }

  void DrainWakeup() const {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto bytes = read(wakeup_, &count, sizeof count);
  }

  void Close() {
    if (fd_ >= 0)
      close(fd_);
    fd_ = -1;
  }

  const support::Address server_;
  const int wakeup_;
  int fd_ = -1;
  SteadyClock::time_point deadline_;
  std::atomic<bool> cancelled_ = false;
};

Client::Client(const support::Address& server)
    : impl_(std::make_unique<Impl>(server)) {}

Client::~Client() = default;

Exchange Client::Send(const Request& request,
                      std::chrono::milliseconds timeout,
                      bool reuse_connection) {
  Exchange exchange = impl_->Send(request, timeout, reuse_connection);
  impl_->ResetCancel();
  return exchange;
}

bool Client::HasConnection() const {
  return impl_->HasConnection();
}

void Client::Cancel() {
  impl_->Cancel();
}

void Client::ResetCancel() {
  impl_->ResetCancel();
}

bool CanConnect(const support::Address& server) {
  Client::Impl connection(server);
  connection.SetDeadline(kConnectProbe);
  std::string error;
  // With a full backlog something listens but does not accept.
  return connection.Connect(error) != ExchangeResult::kNotSent;
}

}  // namespace yuccastair::http
