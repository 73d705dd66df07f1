// The cxxtools server, its responder and its event loop thread.

#include "yuccastair/http/server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <atomic>
#include <istream>
#include <ostream>
#include <thread>
#include <utility>

#include "yuccastair/support/error.h"
#include "yuccastair/support/log.h"

namespace yuccastair::http {
namespace {

// cxxtools listens with a backlog of 5, at which hundreds of simultaneous
// connects wait for repeated SYNs, seconds in the worst case.
constexpr int kListenBacklog = 1024;
constexpr rlim_t kMaxScannedDescriptors = 4096;

/// Raises the backlog of the socket that listens on \p port.
///
/// cxxtools does not show its listening socket, so it is found among the
/// descriptors of the process; listen() on a listening socket sets its backlog.
void RaiseBacklog(std::uint16_t port) {
  for (int fd = 0; fd < static_cast<int>(kMaxScannedDescriptors); ++fd) {
    int listening = 0;
    socklen_t size = sizeof listening;
    if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0 ||
        listening == 0)
      continue;
    sockaddr_in name{};
    socklen_t name_size = sizeof name;
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&name), &name_size) == 0 &&
        ntohs(name.sin_port) == port)
      listen(fd, kListenBacklog);
  }
}

bool PeerClosed(int fd) {
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

const char* ReasonPhrase(int status) {
  switch (status / 100) {
    case 2:
      return "OK";
    case 4:
      return "Client Error";
    case 5:
      return "Server Error";
    default:
      return "Other";
  }
}

}  // namespace

class Server::Impl {
 public:
  explicit Impl(Options options)
      : options_(std::move(options)), server_(loop_), service_(*this) {
    server_.maxThreads(static_cast<unsigned>(options_.max_in_flight +
                                             options_.reserve_threads));
    server_.keepAliveTimeout(cxxtools::Milliseconds(
        static_cast<double>(options_.keep_alive_timeout.count())));
    server_.readTimeout(cxxtools::Milliseconds(
        static_cast<double>(options_.read_timeout.count())));
    try {
      server_.listen(options_.listen.host, options_.listen.port);
    } catch (const std::exception& error) {
      throw support::Error("listen", options_.listen.ToString(), error.what());
    }
    RaiseBacklog(options_.listen.port);
    server_.addService(cxxtools::Regex(".*"), service_);
    thread_ = std::thread([this] { loop_.run(); });
  }

  ~Impl() {
    loop_.exit();
    thread_.join();
  }

  std::size_t in_flight() const { return in_flight_; }

 private:
  class Responder : public cxxtools::http::Responder {
   public:
    Responder(cxxtools::http::Service& service, Impl& impl)
        : cxxtools::http::Responder(service), impl_(impl) {}

    void beginRequest(cxxtools::net::TcpSocket& socket,
                      std::istream& in,
                      cxxtools::http::Request& request) override {
      cxxtools::http::Responder::beginRequest(socket, in, request);
      fd_ = socket.getFd();
      body_.clear();
      body_too_large_ = false;
      const int on = 1;
      setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    std::size_t readBody(std::istream& in) override {
      std::size_t total = 0;
      while (in.rdbuf()->in_avail() > 0) {
        char buffer[8192];
        const auto count = in.readsome(buffer, sizeof buffer);
        if (count <= 0)
          break;
        total += static_cast<std::size_t>(count);
        Append(buffer, static_cast<std::size_t>(count));
      }
      return total;
    }

    void reply(std::ostream& out,
               cxxtools::http::Request& request,
               cxxtools::http::Reply& reply) override {
      Request converted;
      converted.method = request.method();
      converted.path = request.header().query();
      for (const auto& [name, value] : request.header())
        converted.headers.push_back({name, value});
      converted.body = std::move(body_);
      converted.caller_gone = [fd = fd_] { return PeerClosed(fd); };
      const Response response = impl_.Handle(converted, body_too_large_);
      reply.httpReturn(static_cast<unsigned>(response.status),
                       ReasonPhrase(response.status));
      for (const Header& header : response.headers)
        reply.addHeader(header.name.c_str(), header.value.c_str());
      if (response.close_connection)
        reply.setHeader("Connection", "close");
      out << response.body;
    }

   private:
    void Append(const char* data, std::size_t count) {
      if (body_.size() + count > impl_.options_.max_body_bytes) {
        body_too_large_ = true;
        body_.clear();
      }
      if (!body_too_large_)
        body_.append(data, count);
    }

    Impl& impl_;
    int fd_ = -1;
    std::string body_;
    bool body_too_large_ = false;
  };

  class Service : public cxxtools::http::Service {
   public:
    explicit Service(Impl& impl) : impl_(impl) {}

   private:
    cxxtools::http::Responder* createResponder(
        const cxxtools::http::Request&) override {
      return new Responder(*this, impl_);
    }
    void releaseResponder(cxxtools::http::Responder* responder) override {
      delete responder;
    }

    Impl& impl_;
  };

  Response Handle(const Request& request, bool body_too_large) {
    if (body_too_large)
      return Refuse(request, 413);
    const std::size_t running = ++in_flight_;
    Response response;
    if (running > options_.max_in_flight) {
      response = Refuse(request, 503);
    } else {
      try {
        response = options_.on_request(request);
      } catch (const std::exception& error) {
        support::LogError("http.handler_failed", {{"error", error.what()}});
        response = Refuse(request, 500);
      }
    }
    --in_flight_;
    return response;
  }

  Response Refuse(const Request& request, int status) const {
    Response response = options_.on_refused(request, status);
    response.close_connection = true;
    return response;
  }

  const Options options_;
  cxxtools::EventLoop loop_;
  cxxtools::http::Server server_;
  Service service_;
  std::atomic<std::size_t> in_flight_ = 0;
  std::thread thread_;
};

Server::Server(Options options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

Server::~Server() = default;

std::size_t Server::in_flight() const {
  return impl_->in_flight();
}

}  // namespace yuccastair::http
