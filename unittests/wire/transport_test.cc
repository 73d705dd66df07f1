// Transport over real sockets: answers come back, dead peers are reported.

#include "yuccastair/wire/transport.h"

#include <catch2/catch.hpp>
#include <future>

namespace yuccastair::wire {
namespace {

constexpr std::chrono::seconds kLongWait{20};

Envelope PingWith(std::uint64_t correlation) {
  Envelope envelope;
  envelope.set_correlation(correlation);
  envelope.mutable_ping();
  return envelope;
}

TEST_CASE("a request reaches its peer and the answer comes back") {
  Transport* reply_through = nullptr;
  Transport server({.listen = "127.0.0.1:23101", .curve = std::nullopt},
                   {.on_request =
                        [&](const ReplyRoute& route, const Envelope& envelope) {
                          Envelope pong;
                          pong.set_correlation(envelope.correlation());
                          pong.mutable_pong();
                          reply_through->Reply(route, pong);
                        },
                    .on_answer = nullptr,
                    .on_undelivered = nullptr,
                    .on_tick = nullptr});
  reply_through = &server;
  std::promise<std::uint64_t> answered;
  Transport client({.listen = "", .curve = std::nullopt},
                   {.on_request = nullptr,
                    .on_answer =
                        [&](const std::string&, const Envelope& envelope) {
                          answered.set_value(envelope.correlation());
                        },
                    .on_undelivered = nullptr,
                    .on_tick = nullptr});
  client.Send("127.0.0.1:23101", PingWith(7));
  auto future = answered.get_future();
  REQUIRE(future.wait_for(kLongWait) == std::future_status::ready);
  CHECK(future.get() == 7);
}

TEST_CASE("a request for a peer that does not listen is reported undelivered") {
  std::promise<std::uint64_t> undelivered;
  Transport client({.listen = "", .curve = std::nullopt},
                   {.on_request = nullptr,
                    .on_answer = nullptr,
                    .on_undelivered =
                        [&](const std::string&, const Envelope& envelope) {
                          undelivered.set_value(envelope.correlation());
                        },
                    .on_tick = nullptr});
  client.Send("127.0.0.1:23102", PingWith(9));
  auto future = undelivered.get_future();
  REQUIRE(future.wait_for(kLongWait) == std::future_status::ready);
  CHECK(future.get() == 9);
}

}  // namespace
}  // namespace yuccastair::wire
