// The client half: a pool of connections for each server.

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>
#include <vector>

#include "async_http.h"

namespace yuccastair::rig {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

/// A call as it is seen by its caller and by the connection that carries it.
struct CallState {
  bool done = false;
  AsyncClient::Callback callback;
  std::function<void()> close;

  void Finish(CallResult result) {
    if (std::exchange(done, true))
      return;
    close = nullptr;
    const auto call = std::exchange(callback, nullptr);
    call(std::move(result));
  }
};

}  // namespace

struct AsyncClient::Pending {
  HttpRequest request;
  Clock::time_point deadline;
  std::shared_ptr<CallState> state;
};

struct AsyncClient::Server {
  Endpoint endpoint;
  std::size_t open = 0;
  std::vector<std::shared_ptr<Connection>> idle;
  std::deque<Pending> waiting;
};

class AsyncClient::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  using Done = std::function<void(bool reusable)>;

  explicit Connection(asio::io_context& io) : stream_(io) {}

  bool UsableAgain() {
    char byte = 0;
    return recv(stream_.socket().native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void Run(const Endpoint& endpoint, Pending pending, Done done) {
    pending_ = std::move(pending);
    done_ = std::move(done);
    pending_.state->close = [weak = weak_from_this()] {
      if (const auto self = weak.lock())
        self->stream_.cancel();
    };
    stream_.expires_at(pending_.deadline);
    if (connected_) {
      Write();
      return;
    }
    stream_.async_connect(endpoint, [self = shared_from_this()](error_code e) {
      if (e) {
        self->Finish(CallError::kNotSent, false);
        return;
      }
      self->connected_ = true;
      error_code ignored;
      self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
      self->Write();
    });
  }

 private:
  void Write() {
    beast::http::async_write(
        stream_, pending_.request,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (error)
            self->Fail(error);
          else
            self->Read();
        });
  }

  void Read() {
    response_ = {};
    beast::http::async_read(
        stream_, buffer_, response_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (error)
            self->Fail(error);
          else
            self->Finish(CallError::kNone, self->response_.keep_alive());
        });
  }

  void Fail(const error_code& error) {
    Finish(error == beast::error::timeout ? CallError::kTimedOut
                                          : CallError::kBroken,
           false);
  }

  void Finish(CallError error, bool reusable) {
    // Without a deadline the idle connection is left alone.
    stream_.expires_never();
    const auto state = std::exchange(pending_.state, nullptr);
    const auto done = std::exchange(done_, nullptr);
    CallResult result{error, std::move(response_)};
    done(reusable);
    state->Finish(std::move(result));
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  bool connected_ = false;
  Pending pending_;
  HttpResponse response_;
  Done done_;
};

AsyncClient::AsyncClient(asio::io_context& io, std::size_t max_connections)
    : io_(io), max_connections_(max_connections) {}

AsyncClient::~AsyncClient() = default;

CallCancel AsyncClient::Call(const Endpoint& server,
                             HttpRequest request,
                             std::chrono::milliseconds timeout,
                             Callback callback) {
  request.version(11);
  request.keep_alive(true);
  if (request.find(beast::http::field::host) == request.end())
    request.set(beast::http::field::host, server.address().to_string());
  request.prepare_payload();
  auto state = std::make_shared<CallState>();
  state->callback = std::move(callback);
  std::unique_ptr<Server>& entry = servers_[server];
  if (!entry) {
    entry = std::make_unique<Server>();
    entry->endpoint = server;
  }
  Pending pending{std::move(request), Clock::now() + timeout, state};
  if (entry->idle.empty() && entry->open >= max_connections_)
    entry->waiting.push_back(std::move(pending));
  else
    Start(*entry, std::move(pending));
  return [state] {
    if (state->done)
      return;
    const auto close = std::exchange(state->close, nullptr);
    state->done = true;
    state->callback = nullptr;
    if (close)
      close();
  };
}

std::size_t AsyncClient::open() const {
  std::size_t open = 0;
  for (const auto& [endpoint, server] : servers_)
    open += server->open;
  return open;
}

void AsyncClient::Start(Server& server, Pending pending) {
  std::shared_ptr<Connection> connection;
  while (!connection && !server.idle.empty()) {
    connection = std::move(server.idle.back());
    server.idle.pop_back();
    if (!connection->UsableAgain()) {
      connection = nullptr;
      --server.open;
    }
  }
  if (!connection) {
    connection = std::make_shared<Connection>(io_);
    ++server.open;
  }
  connection->Run(
      server.endpoint, std::move(pending),
      [this, alive = std::weak_ptr<bool>(alive_), endpoint = server.endpoint,
       weak = std::weak_ptr<Connection>(connection)](bool reuse) {
        if (!alive.expired())
          Release(endpoint, weak.lock(), reuse);
      });
}

void AsyncClient::Release(const Endpoint& endpoint,
                          const std::shared_ptr<Connection>& connection,
                          bool reusable) {
  Server& server = *servers_[endpoint];
  if (reusable)
    server.idle.push_back(connection);
  else
    --server.open;
  while (!server.waiting.empty() &&
         (!server.idle.empty() || server.open < max_connections_)) {
    Pending next = std::move(server.waiting.front());
    server.waiting.pop_front();
    if (next.state->done)
      continue;
    if (next.deadline <= Clock::now()) {
      next.state->Finish({CallError::kTimedOut, {}});
      continue;
    }
    Start(server, std::move(next));
  }
}

}  // namespace yuccastair::rig
