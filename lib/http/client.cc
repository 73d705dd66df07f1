// The cxxtools client with checks that a response is whole.

#include "yuccastair/http/client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <cxxtools/net/addrinfo.h>

#include <utility>

namespace yuccastair::http {
namespace {

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

class Client::Impl {
 public:
  explicit Impl(support::Address server) : server_(std::move(server)) {}

  Exchange Send(const Request& request,
                std::chrono::milliseconds timeout,
                bool reuse_connection) {
    Exchange exchange;
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    if (!reuse_connection || !connected_) {
      Close();
      if (!Connect(exchange))
        return exchange;
    }
    exchange.result = ExchangeResult::kBroken;
    try {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(
          deadline - std::chrono::steady_clock::now());
      client_.execute(Convert(request),
                      ToCxxtools(std::max(left, std::chrono::milliseconds(1))));
      client_.readBody();
      Read(request, exchange);
    } catch (const cxxtools::IOTimeout&) {
      exchange.result = ExchangeResult::kTimedOut;
      exchange.error = "no response in time";
    } catch (const std::exception& error) {
      exchange.error = error.what();
    }
    if (exchange.result != ExchangeResult::kComplete)
      Close();
    return exchange;
  }

 private:
  bool Connect(Exchange& exchange) {
    try {
      client_.connect(server_.host, server_.port);
      connected_ = true;
      return true;
    } catch (const std::exception& error) {
      exchange.result = ExchangeResult::kNotSent;
      exchange.error = error.what();
      return false;
    }
  }

  void Close() {
    if (connected_)
      client_.close();
    connected_ = false;
  }

  void Read(const Request& request, Exchange& exchange) {
    const cxxtools::http::Reply& reply = client_.reply();
    Response& response = exchange.response;
    response.status = static_cast<int>(reply.httpReturnCode());
    response.body = reply.body();
    for (const auto& [name, value] : reply.header())
      response.headers.push_back({name, value});
    if (!IsWhole(reply.header(), response.body.size(), request.method)) {
      exchange.error = "the response body was cut short";
      return;
    }
    exchange.result = ExchangeResult::kComplete;
    if (!reply.header().keepAlive())
      Close();
  }

  const support::Address server_;
  cxxtools::http::Client client_;
  bool connected_ = false;
};

Client::Client(support::Address server)
    : impl_(std::make_unique<Impl>(std::move(server))) {}

Client::~Client() = default;

Exchange Client::Send(const Request& request,
                      std::chrono::milliseconds timeout,
                      bool reuse_connection) {
  return impl_->Send(request, timeout, reuse_connection);
}

}  // namespace yuccastair::http
