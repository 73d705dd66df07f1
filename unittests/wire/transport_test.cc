// Transport over real sockets: answers come back, dead peers are reported,
// strangers are kept out and malformed messages are dropped.

#include "yuccastair/wire/transport.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <zmq.hpp>

namespace yuccastair::wire {
namespace {

constexpr std::chrono::seconds kLongWait{20};

Envelope PingWith(std::uint64_t correlation) {
  Envelope envelope;
  envelope.set_correlation(correlation);
  envelope.mutable_ping();
  return envelope;
}

/// Answers every request with a Pong of the same correlation.
class PongServer {
 public:
  PongServer(const std::string& listen, std::optional<CurveKeyPair> curve)
      : transport_(
            {.listen = listen, .curve = std::move(curve)},
            {.on_request =
                 [this](const ReplyRoute& route, const Envelope& envelope) {
                   ++requests_;
                   Envelope pong;
                   pong.set_correlation(envelope.correlation());
                   pong.mutable_pong();
                   transport_.Reply(route, pong);
                 },
             .on_answer = nullptr,
             .on_undelivered = nullptr,
             .on_tick = nullptr}) {}

  int requests() const { return requests_; }

 private:
  std::atomic<int> requests_ = 0;
  Transport transport_;
};

/// Sends requests and keeps the first answer and the first undelivered one.
class Sender {
 public:
  explicit Sender(std::optional<CurveKeyPair> curve = std::nullopt)
      : transport_({.listen = "", .curve = std::move(curve)},
                   {.on_request = nullptr,
                    .on_answer =
                        [this](const std::string&, const Envelope& envelope) {
                          if (!answer_seen_.exchange(true))
                            answered_.set_value(envelope.correlation());
                        },
                    .on_undelivered =
                        [this](const std::string&, const Envelope& envelope) {
                          if (!undelivered_seen_.exchange(true))
                            undelivered_.set_value(envelope.correlation());
                        },
                    .on_tick = nullptr}) {}

  void Send(const std::string& address, std::uint64_t correlation) {
    transport_.Send(address, PingWith(correlation));
  }

  /// Returns the correlation of the first answer; 0 if none came.
  std::uint64_t WaitForAnswer() { return Wait(answered_); }

  /// Returns the correlation of the first undelivered request; 0 if none.
  std::uint64_t WaitForUndelivered() { return Wait(undelivered_); }

 private:
  static std::uint64_t Wait(std::promise<std::uint64_t>& promise) {
    auto future = promise.get_future();
    if (future.wait_for(kLongWait) != std::future_status::ready)
      return 0;
    return future.get();
  }

  std::promise<std::uint64_t> answered_;
  std::promise<std::uint64_t> undelivered_;
  std::atomic<bool> answer_seen_ = false;
  std::atomic<bool> undelivered_seen_ = false;
  Transport transport_;
};

TEST_CASE("a request reaches its peer and the answer comes back") {
  const PongServer server("127.0.0.1:23101", std::nullopt);
  Sender sender;
  sender.Send("127.0.0.1:23101", 7);
  CHECK(sender.WaitForAnswer() == 7);
}

TEST_CASE("a request for a peer that does not listen is reported undelivered") {
  Sender sender;
  sender.Send("127.0.0.1:23102", 9);
  CHECK(sender.WaitForUndelivered() == 9);
}

TEST_CASE("a peer that comes back gets no request from before") {
  // Guards against a stale request that runs after its sender has answered.
  Sender sender;
  sender.Send("127.0.0.1:23103", 11);
  REQUIRE(sender.WaitForUndelivered() == 11);
  const PongServer server("127.0.0.1:23103", std::nullopt);
  sender.Send("127.0.0.1:23103", 12);
  // The new request may need further tries until the connection stands.
  for (int i = 0; i < 100 && server.requests() == 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    sender.Send("127.0.0.1:23103", 12);
  }
  CHECK(sender.WaitForAnswer() == 12);
}

TEST_CASE("processes with the deployment's key pair reach each other") {
  const CurveKeyPair keys = GenerateCurveKeyPair();
  const PongServer server("127.0.0.1:23104", keys);
  Sender sender(keys);
  sender.Send("127.0.0.1:23104", 13);
  CHECK(sender.WaitForAnswer() == 13);
}

TEST_CASE("a process without the deployment's key pair is kept out") {
  const PongServer server("127.0.0.1:23105", GenerateCurveKeyPair());
  Sender stranger;
  stranger.Send("127.0.0.1:23105", 14);
  CHECK(stranger.WaitForUndelivered() == 14);
  Sender with_other_keys(GenerateCurveKeyPair());
  with_other_keys.Send("127.0.0.1:23105", 15);
  CHECK(with_other_keys.WaitForUndelivered() == 15);
  CHECK(server.requests() == 0);
}

TEST_CASE("malformed messages are dropped and later ones are answered") {
  const PongServer server("127.0.0.1:23106", std::nullopt);
  zmq::context_t context;
  zmq::socket_t raw(context, zmq::socket_type::dealer);
  raw.set(zmq::sockopt::linger, 0);
  raw.set(zmq::sockopt::rcvtimeo, 20000);
  raw.connect("tcp://127.0.0.1:23106");
  raw.send(zmq::buffer(std::string("\xff\xff\xff\xff not an envelope")),
           zmq::send_flags::none);
  raw.send(zmq::buffer(std::string("part")), zmq::send_flags::sndmore);
  raw.send(zmq::buffer(std::string("another part")), zmq::send_flags::none);
  raw.send(zmq::buffer(PingWith(16).SerializeAsString()),
           zmq::send_flags::none);
  zmq::message_t answer;
  REQUIRE(raw.recv(answer));
  Envelope envelope;
  REQUIRE(
      envelope.ParseFromArray(answer.data(), static_cast<int>(answer.size())));
  CHECK(envelope.correlation() == 16);
}

}  // namespace
}  // namespace yuccastair::wire
