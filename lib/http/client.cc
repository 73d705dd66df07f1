// The cxxtools client with checks that a response is whole.

#include "yuccastair/http/client.h"

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <cxxtools/limitstream.h>
#include <cxxtools/net/addrinfo.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>
#include <cxxtools/streambuffer.h>
#include <errno.h>
#include <sys/socket.h>

#include <atomic>
#include <istream>
#include <streambuf>
#include <utility>

#include "yuccastair/support/error.h"

namespace yuccastair::http {
namespace {

constexpr std::chrono::milliseconds kConnectProbe{100};

cxxtools::Milliseconds ToCxxtools(std::chrono::milliseconds duration) {
  return cxxtools::Milliseconds(static_cast<double>(duration.count()));
}

cxxtools::http::Request Convert(const Request& request) {
  cxxtools::http::Request converted;
  const std::size_t question = request.path.find('?');
  converted.url(request.path.substr(0, question));
  if (question != std::string::npos)
    converted.qparams(request.path.substr(question + 1));
  converted.method(request.method);
  for (const Header& header : request.headers)
    converted.addHeader(header.name.c_str(), header.value.c_str());
  converted.body() << request.body;
  return converted;
}

/// Returns whether the body has the length that the header announced.
bool IsWhole(const cxxtools::http::ReplyHeader& header,
             std::size_t body_size,
             const std::string& method) {
  const char* length = header.getHeader("Content-Length");
  if (method == "HEAD" || length == nullptr)
    return true;
  return header.contentLength() == body_size;
}

}  // namespace

// Requests run through the asynchronous interface of cxxtools, because a
// blocking call cannot be ended from another thread and, on an open connection,
// sends a request a second time when no response comes.
class Client::Impl : public cxxtools::Connectable {
 public:
  explicit Impl(const support::Address& server) {
    client_.setSelector(selector_);
    client_.prepareConnect(server.host, server.port);
    cxxtools::connect(client_.replyFinished, *this, &Impl::OnFinished);
    cxxtools::connect(client_.requestSent, *this, &Impl::OnSent);
    cxxtools::connect(client_.bodyAvailable, *this, &Impl::OnBody);
  }

  Exchange Send(const Request& request,
                std::chrono::milliseconds timeout,
                bool reuse_connection) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    if (!reuse_connection || PeerClosed())
      Close();
    connected_ = IsConnected();
    sent_ = false;
    finished_ = false;
    body_.clear();
    Exchange exchange;
    try {
      // cxxtools keeps a pointer to it until the response is complete.
      const cxxtools::http::Request converted = Convert(request);
      client_.beginExecute(converted);
      exchange.result = WaitUntil(deadline);
      if (exchange.result == ExchangeResult::kComplete) {
        client_.endExecute();
        Read(request, exchange);
      } else {
        exchange.error = exchange.result == ExchangeResult::kCancelled
                             ? "cancelled"
                             : "no response in time";
        Close();
      }
    } catch (const std::exception& error) {
      exchange.result = ExchangeResult::kBroken;
      exchange.error = error.what();
      Close();
    }
    if (exchange.result != ExchangeResult::kComplete && !connected_ && !sent_)
      exchange.result = ExchangeResult::kNotSent;
    cancelled_ = false;
    return exchange;
  }

  bool HasConnection() { return IsConnected() && !PeerClosed(); }

  void Cancel() {
    cancelled_ = true;
    selector_.wake();
  }

  void ResetCancel() { cancelled_ = false; }

 private:
  ExchangeResult WaitUntil(std::chrono::steady_clock::time_point deadline) {
    while (!finished_) {
      if (cancelled_)
        return ExchangeResult::kCancelled;
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(
          deadline - std::chrono::steady_clock::now());
      if (left.count() <= 0)
        return ExchangeResult::kTimedOut;
      selector_.wait(ToCxxtools(left));
      connected_ = connected_ || IsConnected();
      // cxxtools has begun to open a second connection for the same request.
      if (sent_ && !finished_ && !IsConnected())
        throw support::Error("send request", "",
                             "the connection closed without a response");
    }
    return ExchangeResult::kComplete;
  }

  void OnFinished(cxxtools::http::Client&) { finished_ = true; }
  void OnSent(cxxtools::http::Client&) { sent_ = true; }

  std::size_t OnBody(cxxtools::http::Client& client) {
    std::istream& in = client.in();
    std::size_t total = 0;
    while (in.rdbuf()->in_avail() > 0) {
      char buffer[8192];
      const auto count = in.readsome(buffer, sizeof buffer);
      if (count <= 0)
        break;
      body_.append(buffer, static_cast<std::size_t>(count));
      total += static_cast<std::size_t>(count);
    }
    return total;
  }

  // The stream of the client reads the socket through a buffer that ends with
  // the body.
  cxxtools::net::TcpSocket* Socket() {
    std::streambuf* buffer = client_.in().rdbuf();
    if (auto* limit =
            dynamic_cast<cxxtools::BasicLimitStreambuf<char>*>(buffer))
      buffer = limit->streambuf();
    auto* stream = dynamic_cast<cxxtools::StreamBuffer*>(buffer);
    return stream == nullptr
               ? nullptr
               : dynamic_cast<cxxtools::net::TcpSocket*>(stream->device());
  }

  bool IsConnected() {
    const cxxtools::net::TcpSocket* socket = Socket();
    return socket != nullptr && socket->isConnected();
  }

  bool PeerClosed() {
    if (!IsConnected())
      return true;
    char byte = 0;
    const auto count =
        recv(Socket()->getFd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Bytes that nobody asked for are as bad as a closed connection.
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void Close() { client_.close(); }

  void Read(const Request& request, Exchange& exchange) {
    const cxxtools::http::Reply& reply = client_.reply();
    Response& response = exchange.response;
    response.status = static_cast<int>(reply.httpReturnCode());
    response.body = std::move(body_);
    for (const auto& [name, value] : reply.header())
      response.headers.push_back({name, value});
    if (!IsWhole(reply.header(), response.body.size(), request.method)) {
      exchange.result = ExchangeResult::kBroken;
      exchange.error = "the response body was cut short";
      Close();
      return;
    }
    if (!reply.header().keepAlive())
      Close();
  }

  cxxtools::Selector selector_;
  cxxtools::http::Client client_;
  std::string body_;
  // A connection existed at some time during this Send().
  bool connected_ = false;
  bool sent_ = false;
  bool finished_ = false;
  std::atomic<bool> cancelled_ = false;
};

Client::Client(const support::Address& server)
    : impl_(std::make_unique<Impl>(server)) {}

Client::~Client() = default;

Exchange Client::Send(const Request& request,
                      std::chrono::milliseconds timeout,
                      bool reuse_connection) {
  return impl_->Send(request, timeout, reuse_connection);
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
  try {
    cxxtools::net::TcpSocket socket;
    socket.setTimeout(ToCxxtools(kConnectProbe));
    socket.connect(cxxtools::net::AddrInfo(server.host, server.port));
  } catch (const cxxtools::IOTimeout&) {
    // A full backlog: something listens but does not accept.
  } catch (const std::exception&) {
    return false;
  }
  return true;
}

}  // namespace yuccastair::http
