// A blocking HTTP client: sockets of its own with one deadline for the whole
// exchange, and the parser of Boost.Beast.
//
// The client of cxxtools 3.0 takes a chunked body that was cut off for whole,
// waits for a body after HEAD and 304, and sends a request again on its own
// when a kept connection breaks (unittests/http/client_test.cc).

#include "yuccastair/http/client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <optional>
#include <system_error>
#include <utility>

#include "yuccastair/stream/response_rules.h"
#include "yuccastair/support/error.h"

namespace yuccastair::http {
namespace {

using Clock = std::chrono::steady_clock;
using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

constexpr std::size_t kReadSize = 16384;
constexpr std::uint32_t kMaxHeaderBytes = 64U << 10U;
constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;

std::string Serialize(const Request& request, const std::string& host) {
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
  if (FindHeader(request.headers, "Host").empty())
    text += "Host: " + host + "\r\n";
  for (const Header& header : request.headers) {
    // The length is that of the body, whatever the headers say.
    if (!SameName(header.name, "Content-Length"))
      text += header.name + ": " + header.value + "\r\n";
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT")
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  return text + "\r\n" + request.body;
}

/// Returns whether a header would end its line or the whole header early.
bool HasLineBreak(const Request& request) {
  const auto breaks = [](const std::string& text) {
    return text.find_first_of(std::string_view("\r\n\0", 3)) !=
           std::string::npos;
  };
  return breaks(request.method) || breaks(request.path) ||
         request.path.find(' ') != std::string::npos ||
         std::any_of(request.headers.begin(), request.headers.end(),
                     [&](const Header& header) {
                       return breaks(header.name) || breaks(header.value);
                     });
}

}  // namespace

class Client::Impl {
 public:
  explicit Impl(support::Address server)
      : server_(std::move(server)),
        wakeup_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (wakeup_ < 0)
      throw support::Error("open connection", server_.ToString(),
                           std::generic_category().message(errno));
  }
  ~Impl() {
    Close();
    close(wakeup_);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Exchange Send(const Request& request,
                std::chrono::milliseconds timeout,
                bool reuse_connection) {
    Exchange exchange;
    deadline_ = Clock::now() + timeout;
    if (HasLineBreak(request)) {
      exchange.error = "the request has a line break in its header";
      return exchange;
    }
    if (!reuse_connection || !HasConnection())
      Close();
    // A call that was cancelled before it began must not reach the server.
    if (cancelled_) {
      exchange.error = "cancelled";
      exchange.result = ExchangeResult::kCancelled;
      return exchange;
    }
    if (fd_ < 0 && !Connect(exchange.error))
      return exchange;
    exchange.result = ExchangeResult::kBroken;
    const bool keep = Write(Serialize(request, server_.ToString()), exchange) &&
                      Read(request.method == "HEAD", exchange);
    if (!keep)
      Close();
    return exchange;
  }

  /// Returns whether a kept connection can take another request: the server has
  /// neither closed it nor sent anything unasked.
  bool HasConnection() const {
    char byte = 0;
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
    std::uint64_t count = 0;
    [[maybe_unused]] const auto bytes = read(wakeup_, &count, sizeof count);
  }

  /// Returns whether something listens; with a full backlog something listens
  /// but does not accept.
  bool Probe(std::chrono::milliseconds timeout) {
    deadline_ = Clock::now() + timeout;
    std::string error;
    return Connect(error) || connect_timed_out_;
  }

 private:
  bool Connect(std::string& error) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server_.port);
    if (inet_pton(AF_INET, server_.host.c_str(), &address.sin_addr) != 1) {
      error = server_.host + " is not an IPv4 address";
      return false;
    }
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    int failure = 0;
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0)
      failure = errno;
    if (failure == EINPROGRESS) {
      failure = ETIMEDOUT;
      socklen_t size = sizeof failure;
      if (WaitFor(POLLOUT))
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &failure, &size);
    }
    connect_timed_out_ = failure == ETIMEDOUT;
    if (failure == 0)
      return true;
    error = std::generic_category().message(failure);
    Close();
    return false;
  }

  void Close() {
    if (fd_ >= 0)
      close(fd_);
    fd_ = -1;
  }

  /// Returns false when the deadline has passed or Cancel() was called first.
  bool WaitFor(short events) const {
    while (true) {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(
          deadline_ - Clock::now());
      if (left.count() <= 0 || cancelled_)
        return false;
      std::array<pollfd, 2> fds{{{fd_, events, 0}, {wakeup_, POLLIN, 0}}};
      const int ready =
          poll(fds.data(), fds.size(), static_cast<int>(left.count()));
      if ((ready > 0 && fds[0].revents != 0 && !cancelled_) ||
          (ready < 0 && errno != EINTR))
        return true;
    }
  }

  bool StoppedWaiting(Exchange& exchange) const {
    exchange.result =
        cancelled_ ? ExchangeResult::kCancelled : ExchangeResult::kTimedOut;
    exchange.error = cancelled_ ? "cancelled" : "no response in time";
    return false;
  }

  bool Write(const std::string& bytes, Exchange& exchange) {
    failure_ = {};
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
      } else if (errno == EAGAIN || errno == EINTR) {
        if (!WaitFor(POLLOUT))
          return StoppedWaiting(exchange);
      } else {
        // The server may answer before it has read the whole request, as with
        // 413; Read() finds the response or the end.
        failure_.Record({errno, boost::system::system_category()});
        return true;
      }
    }
    return true;
  }

  /// Returns whether the connection can be used again.
  bool Read(bool head, Exchange& exchange) {
    std::optional<Parser> parser;
    std::string pending;
    boost::system::error_code error;
    do {
      parser.emplace();
      parser->eager(true);
      parser->header_limit(kMaxHeaderBytes);
      parser->body_limit(kMaxBodyBytes);
      parser->skip(head);
      if (!ReadOne(*parser, pending, error, exchange))
        return false;
      error = stream::FindHeadError(parser->get().base());
      if (error)
        return Broken(error, exchange);
      // Interim responses such as 100 come before the final one.
    } while (parser->get().result_int() / 100 == 1);
    Response& response = exchange.response;
    response.status = static_cast<int>(parser->get().result_int());
    for (const auto& field : parser->get())
      response.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    const bool keep = parser->keep_alive() && pending.empty();
    response.body = std::move(parser->get().body());
    exchange.result = ExchangeResult::kComplete;
    return keep;
  }

  bool ReadOne(Parser& parser,
               std::string& pending,
               boost::system::error_code& error,
               Exchange& exchange) const {
    while (true) {
      while (!pending.empty() && !parser.is_done()) {
        const std::size_t used =
            parser.put(boost::asio::buffer(pending), error);
        pending.erase(0, used);
        if (error == boost::beast::http::error::need_more || used == 0)
          break;
        if (error)
          return Broken(error, exchange);
      }
      if (error && error != boost::beast::http::error::need_more)
        return Broken(error, exchange);
      if (parser.is_done())
        return true;
      std::array<char, kReadSize> buffer;
      const ssize_t count = recv(fd_, buffer.data(), buffer.size(), 0);
      if (count > 0) {
        pending.append(buffer.data(), static_cast<std::size_t>(count));
      } else if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        if (!WaitFor(POLLIN))
          return StoppedWaiting(exchange);
      } else if (count < 0) {
        return Broken({errno, boost::system::system_category()}, exchange);
      } else {
        return End(parser, exchange);
      }
    }
  }

  /// The server has closed the connection, which ends only a body that has
  /// neither a length nor chunks.
  bool End(Parser& parser, Exchange& exchange) const {
    boost::system::error_code error = failure_.error_at_end();
    if (!error && parser.is_header_done())
      parser.put_eof(error);
    if (parser.is_header_done() && !error && parser.is_done())
      return true;
    exchange.error = "the connection was closed before the end of the response";
    return false;
  }

  static bool Broken(const boost::system::error_code& error,
                     Exchange& exchange) {
    exchange.error = error.message();
    return false;
  }

  const support::Address server_;
  const int wakeup_;
  Clock::time_point deadline_;
  int fd_ = -1;
  bool connect_timed_out_ = false;
  // Of the request under way.
  stream::ConnectionFailure failure_;
  std::atomic<bool> cancelled_ = false;
};

Client::Client(support::Address server)
    : impl_(std::make_unique<Impl>(std::move(server))) {}

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
  constexpr std::chrono::milliseconds kConnectProbe{100};
  return Client::Impl(server).Probe(kConnectProbe);
}

}  // namespace yuccastair::http
