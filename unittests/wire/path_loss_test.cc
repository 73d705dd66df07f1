// How soon a transport uses a path that works again.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "dropped_connections.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::wire {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// A path that works again has to be used within this time.
constexpr auto kRecovery = 3s;

/// A port that takes one connection and says nothing on it, which stays open.
class SilentConnection {
 public:
  explicit SilentConnection(std::uint16_t port) {
    Descriptor listener;
    Listen(listener, port);
    fd_ = accept(listener.get(), nullptr, nullptr);
  }
  ~SilentConnection() { close(fd_); }
  SilentConnection(const SilentConnection&) = delete;
  SilentConnection& operator=(const SilentConnection&) = delete;

 private:
  int fd_ = -1;
};

/// Passes connections on to another port. While one direction is cut, it loses
/// what is sent that way, and the connections of that time stay silent.
class OneWayProxy {
 public:
  OneWayProxy(std::uint16_t port, std::uint16_t target)
      : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), port}),
        target_(boost::asio::ip::address_v4::loopback(), target) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~OneWayProxy() {
    context_.stop();
    thread_.join();
  }
  OneWayProxy(const OneWayProxy&) = delete;
  OneWayProxy& operator=(const OneWayProxy&) = delete;

  void CutRequests(bool cut) { requests_cut_ = cut; }
  void CutAnswers(bool cut) { answers_cut_ = cut; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Direction {
    std::shared_ptr<Socket> from;
    std::shared_ptr<Socket> to;
    const std::atomic<bool>& cut;
    // Bytes are missing from now on, so nothing more is passed on.
    bool lost = false;
    std::array<char, 4096> buffer{};
  };

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code error, Socket in) {
      if (error)
        return;
      auto caller = std::make_shared<Socket>(std::move(in));
      auto callee = std::make_shared<Socket>(context_);
      callee->connect(target_, error);
      if (!error) {
        Pass(std::make_shared<Direction>(
            Direction{.from = caller, .to = callee, .cut = requests_cut_}));
        Pass(std::make_shared<Direction>(
            Direction{.from = callee, .to = caller, .cut = answers_cut_}));
      }
      Accept();
    });
  }

  void Pass(const std::shared_ptr<Direction>& direction) {
    direction->from->async_read_some(
        boost::asio::buffer(direction->buffer),
        [this, direction](boost::system::error_code error, std::size_t bytes) {
          direction->lost = direction->lost || direction->cut;
          if (!error && !direction->lost)
            boost::asio::write(
                *direction->to,
                boost::asio::buffer(direction->buffer.data(), bytes), error);
          if (!error) {
            Pass(direction);
            return;
          }
          // The end of a connection is lost as well.
          if (!direction->lost)
            direction->to->close(error);
        });
  }

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const boost::asio::ip::tcp::endpoint target_;
  std::atomic<bool> requests_cut_ = false;
  std::atomic<bool> answers_cut_ = false;
  std::thread thread_;
};

/// Sends a request every 50 ms, as the links do, until one is answered.
class Asker {
 public:
  explicit Asker(std::string address)
      : address_(std::move(address)),
        transport_({.listen = "", .curve = std::nullopt},
                   {.on_request = nullptr,
                    .on_answer = [this](const std::string&,
                                        const Envelope&) { ++answers_; },
                    .on_undelivered = nullptr,
                    .on_tick = nullptr}) {}

  /// Returns whether a request was answered within \p limit.
  bool AskFor(Clock::duration limit) {
    answers_ = 0;
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
      Envelope envelope;
      envelope.mutable_ping();
      transport_.Send(address_, std::move(envelope));
      std::this_thread::sleep_for(50ms);
      if (answers_ > 0)
        return true;
    }
    return false;
  }

 private:
  const std::string address_;
  std::atomic<int> answers_ = 0;
  Transport transport_;
};

/// Answers every request.
std::unique_ptr<Transport> StartAnswering(const std::string& listen) {
  auto self = std::make_shared<std::atomic<Transport*>>(nullptr);
  auto transport = std::make_unique<Transport>(
      Transport::Options{.listen = listen, .curve = std::nullopt},
      Transport::Handlers{
          .on_request =
              [self](const ReplyRoute& route, const Envelope& request) {
                Envelope pong;
                pong.set_correlation(request.correlation());
                pong.mutable_pong();
                if (Transport* sender = self->load())
                  sender->Reply(route, std::move(pong));
              },
          .on_answer = nullptr,
          .on_undelivered = nullptr,
          .on_tick = nullptr});
  *self = transport.get();
  return transport;
}

// Guards against a relay that keeps an old policy after a cut has healed, since
// its attempt to connect waits for the next try of the kernel.
TEST_CASE("a path that dropped connections is used soon after it works again") {
  Asker asker("127.0.0.1:23151");
  auto dropped = std::make_unique<DroppedConnections>(23151);
  // The kernel's tries are several seconds apart by then.
  REQUIRE_FALSE(asker.AskFor(12s));
  dropped.reset();
  const auto server = StartAnswering("127.0.0.1:23151");
  CHECK(asker.AskFor(kRecovery));
}

// Guards against a connection that was opened just before a cut and whose
// greeting was lost.
TEST_CASE("a connection without a greeting is replaced soon") {
  Asker asker("127.0.0.1:23152");
  REQUIRE_FALSE(asker.AskFor(50ms));
  const SilentConnection silent(23152);
  const auto server = StartAnswering("127.0.0.1:23152");
  CHECK(asker.AskFor(kRecovery));
}

// Guards against calls that reach the leader again only seconds after a cut of
// one direction has healed.
TEST_CASE("a path that was cut one way is used soon after it works again") {
  const bool cut_requests = GENERATE(true, false);
  CAPTURE(cut_requests);
  const auto server = StartAnswering("127.0.0.1:23153");
  OneWayProxy proxy(23154, 23153);
  Asker asker("127.0.0.1:23154");
  REQUIRE(asker.AskFor(kRecovery));
  proxy.CutRequests(cut_requests);
  proxy.CutAnswers(!cut_requests);
  asker.AskFor(100ms);
  REQUIRE_FALSE(asker.AskFor(5s));
  proxy.CutRequests(false);
  proxy.CutAnswers(false);
  CHECK(asker.AskFor(kRecovery));
}

}  // namespace
}  // namespace yuccastair::wire
