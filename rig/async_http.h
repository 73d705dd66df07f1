// HTTP/1.1 server and client of the rig on Boost.Beast: one thread drives
// thousands of connections.

#ifndef YUCCASTAIR_RIG_ASYNC_HTTP_H_
#define YUCCASTAIR_RIG_ASYNC_HTTP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "yuccastair/support/address.h"

namespace yuccastair::rig {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;
using Endpoint = boost::asio::ip::tcp::endpoint;

Endpoint ToEndpoint(const support::Address& address);

/// A request that a server has read and not answered yet.
class ServerExchange {
 public:
  virtual ~ServerExchange() = default;
  virtual const HttpRequest& request() const = 0;
  virtual void Respond(HttpResponse response) = 0;
  /// Leaves the request and all later ones of its connection without answer.
  virtual void GoSilent() = 0;
  /// Calls \p handler if the connection closes before the response.
  virtual void OnGone(std::function<void()> handler) = 0;
  /// Number of the connection in order of acceptance.
  virtual std::uint64_t connection() const = 0;
};

using RequestHandler = std::function<void(std::shared_ptr<ServerExchange>)>;

/// Accepts connections for as long as the io_context runs.
class AsyncServer {
 public:
  AsyncServer(boost::asio::io_context& io,
              const support::Address& listen,
              RequestHandler handler);

  /// Number of connections accepted so far.
  std::uint64_t accepted() const { return accepted_; }

 private:
  void Accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  RequestHandler handler_;
  std::uint64_t accepted_ = 0;
};

enum class CallError {
  kNone,
  /// No connection came about.
  kNotSent,
  /// The connection ended before the response did.
  kBroken,
  kTimedOut,
};

struct CallResult {
  CallError error = CallError::kNone;
  HttpResponse response;
};

/// Cancels the call that returned it, by closing its connection.
using CallCancel = std::function<void()>;

/// Keeps persistent connections to any number of servers.
class AsyncClient {
 public:
  using Callback = std::function<void(CallResult)>;

  /// At most \p max_connections are open to one server; further calls wait in
  /// order. The time-out of a call includes its waiting.
  AsyncClient(boost::asio::io_context& io, std::size_t max_connections);
  ~AsyncClient();

  AsyncClient(const AsyncClient&) = delete;
  AsyncClient& operator=(const AsyncClient&) = delete;

  CallCancel Call(const Endpoint& server,
                  HttpRequest request,
                  std::chrono::milliseconds timeout,
                  Callback callback);

  /// Number of connections that are open to all servers.
  std::size_t open() const;

 private:
  class Connection;
  struct Server;
  struct Pending;

  void Start(Server& server, Pending pending);
  void Release(const Endpoint& endpoint,
               const std::shared_ptr<Connection>& connection,
               bool reusable);

  boost::asio::io_context& io_;
  const std::size_t max_connections_;
  std::map<Endpoint, std::unique_ptr<Server>> servers_;
  // Connections that end after the client is gone must not touch it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yuccastair::rig

#endif  // YUCCASTAIR_RIG_ASYNC_HTTP_H_
