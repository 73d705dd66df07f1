// The server half: one session for each connection.

#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "async_http.h"

namespace yuccastair::rig {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

constexpr int kBacklog = 2048;

class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket,
          const RequestHandler& handler,
          std::uint64_t number)
      : stream_(std::move(socket)), handler_(handler), number_(number) {}

  void Read() {
    request_ = {};
    beast::http::async_read(
        stream_, buffer_, request_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error)
            self->Handle();
        });
  }

 private:
  class Exchange : public ServerExchange {
   public:
    explicit Exchange(std::shared_ptr<Session> session)
        : session_(std::move(session)) {}

    const HttpRequest& request() const override { return session_->request_; }
    void Respond(HttpResponse response) override {
      session_->Write(std::move(response));
    }
    void GoSilent() override { session_->silent_ = true; }
    void OnGone(std::function<void()> handler) override {
      session_->on_gone_ = std::move(handler);
    }
    std::uint64_t connection() const override { return session_->number_; }

   private:
    std::shared_ptr<Session> session_;
  };

  void Handle() {
    answered_ = false;
    on_gone_ = nullptr;
    WatchForClose();
    handler_(std::make_shared<Exchange>(shared_from_this()));
  }

  // A request is not pipelined in the rig, so that readable means closed.
  void WatchForClose() {
    stream_.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), exchange = ++exchange_](error_code error) {
          if (error || self->answered_ || exchange != self->exchange_)
            return;
          char byte = 0;
          const auto count = recv(self->stream_.socket().native_handle(), &byte,
                                  1, MSG_PEEK | MSG_DONTWAIT);
          if (count > 0)
            return;
          self->answered_ = true;
          if (const auto gone = std::exchange(self->on_gone_, nullptr))
            gone();
        });
  }

  void Write(HttpResponse response) {
    if (answered_ || silent_)
      return;
    answered_ = true;
    on_gone_ = nullptr;
    response_ = std::move(response);
    response_.version(11);
    response_.keep_alive(request_.keep_alive());
    response_.prepare_payload();
    beast::http::async_write(
        stream_, response_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error && self->response_.keep_alive())
            self->Read();
        });
  }

  beast::tcp_stream stream_;
  const RequestHandler& handler_;
  const std::uint64_t number_;
  beast::flat_buffer buffer_;
  HttpRequest request_;
  HttpResponse response_;
  std::function<void()> on_gone_;
  std::uint64_t exchange_ = 0;
  bool answered_ = false;
  bool silent_ = false;
};

}  // namespace

Endpoint ToEndpoint(const support::Address& address) {
  return {asio::ip::make_address(address.host), address.port};
}

AsyncServer::AsyncServer(asio::io_context& io,
                         const support::Address& listen,
                         RequestHandler handler)
    : io_(io), acceptor_(io), handler_(std::move(handler)) {
  const Endpoint endpoint = ToEndpoint(listen);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(kBacklog);
  Accept();
}

void AsyncServer::Accept() {
  acceptor_.async_accept(
      io_, [this](error_code error, asio::ip::tcp::socket socket) {
        if (!error) {
          error_code ignored;
          socket.set_option(asio::ip::tcp::no_delay(true), ignored);
          std::make_shared<Session>(std::move(socket), handler_, ++accepted_)
              ->Read();
        }
        Accept();
      });
}

}  // namespace yuccastair::rig
