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

#include <algorithm>
#include <array>
#include <atomic>
#include <istream>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "framing.h"
#include "yuccastair/support/error.h"
#include "yuccastair/support/log.h"

namespace yuccastair::http {
namespace {

// cxxtools listens with a backlog of 5, at which hundreds of simultaneous
// connects wait for repeated SYNs, seconds in the worst case.
constexpr int kListenBacklog = 1024;
constexpr std::size_t kReadSize = 8192;
// Room for the headers that the library adds: Content-Length, Server,
// Connection and Date.
constexpr std::size_t kLibraryHeaderBytes = 256;
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
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

/// Returns whether the headers fit into those of cxxtools, which throws in the
/// middle of the response otherwise.
bool HeadersFit(const Response& response) {
  std::size_t size = kLibraryHeaderBytes;
  for (const Header& header : response.headers)
    size += header.name.size() + header.value.size() + 2;
  return size <= cxxtools::http::MessageHeader::MAXHEADERSIZE;
}

bool HasNoBody(const std::string& method, int status) {
  return method == "HEAD" || status == 204 || status == 304;
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
      const int on = 1;
      setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      // Bounds the reads and writes that block; cxxtools waits without end.
      socket.setTimeout(cxxtools::Milliseconds(
          static_cast<double>(impl_.options_.read_timeout.count())));
      framing_ = FramingOf(request.header());
      body_left_ = framing_.length;
      status_ = framing_.status;
      // Leads to replyError() at once, without waiting for a body whose end is
      // not known.
      if (status_ != 0)
        throw std::runtime_error("malformed request");
      if (framing_.wants_continue)
        send(fd_, kContinue, sizeof kContinue - 1, MSG_NOSIGNAL);
      if (framing_.chunked && !ReadChunks(in))
        throw std::runtime_error("malformed chunked body");
    }

    // Called for a header that cxxtools cannot parse and for what this class
    // throws; never after the handler has run.
    void replyError(std::ostream& out,
                    cxxtools::http::Request& request,
                    cxxtools::http::Reply& reply,
                    const std::exception& /*error*/) override {
      status_ = status_ == 0 ? 400 : status_;
      this->reply(out, request, reply);
    }

    // cxxtools hands over all that it has read, which may go beyond this
    // request to the next one on the connection.
    std::size_t readBody(std::istream& in) override {
      std::size_t total = 0;
      while (body_left_ > 0 && in.rdbuf()->in_avail() > 0) {
        std::array<char, kReadSize> buffer;
        const auto count = in.readsome(
            buffer.data(),
            static_cast<std::streamsize>(std::min(buffer.size(), body_left_)));
        if (count <= 0)
          break;
        total += static_cast<std::size_t>(count);
        body_left_ -= static_cast<std::size_t>(count);
        Append(buffer.data(), static_cast<std::size_t>(count));
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
      Response response = impl_.Handle(converted, status_);
      if (!HeadersFit(response)) {
        support::LogError("http.response_headers_too_large",
                          {{"path", converted.path}});
        response = impl_.Refuse(converted, 502);
      }
      reply.httpReturn(static_cast<unsigned>(response.status),
                       ReasonPhrase(response.status));
      for (const Header& header : response.headers)
        reply.addHeader(header.name.c_str(), header.value.c_str());
      if (response.close_connection)
        reply.setHeader("Connection", "close");
      if (HasNoBody(converted.method, response.status))
        return;
      out << response.body;
    }

   private:
    void Append(const char* data, std::size_t count) {
      if (body_.size() + count > impl_.options_.max_body_bytes) {
        status_ = 413;
        body_.clear();
      }
      if (status_ == 0)
        body_.append(data, count);
    }

    /// Reads a chunked body, which cxxtools would take for the next request.
    bool ReadChunks(std::istream& in) {
      std::string line;
      while (ReadLine(in, line)) {
        const std::optional<std::size_t> size = ParseChunkSize(line);
        if (!size)
          break;
        if (*size == 0) {
          // Trailer fields are read and dropped.
          while (ReadLine(in, line) && !line.empty()) {
          }
          if (!in)
            break;
          return true;
        }
        if (*size > impl_.options_.max_body_bytes - body_.size()) {
          status_ = 413;
          return false;
        }
        const std::size_t start = body_.size();
        body_.resize(start + *size);
        if (!in.read(body_.data() + start,
                     static_cast<std::streamsize>(*size)) ||
            !ReadLine(in, line) || !line.empty())
          break;
      }
      status_ = 400;
      return false;
    }

    Impl& impl_;
    int fd_ = -1;
    Framing framing_;
    std::string body_;
    std::size_t body_left_ = 0;
    // Status with which the request is refused, or 0.
    int status_ = 0;
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

  Response Handle(const Request& request, int refused_status) {
    if (refused_status != 0)
      return Refuse(request, refused_status);
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
