// Waits for the connections of a server that takes no more of them.

#include "yuccastair/http/drain.h"

#include <boost/asio/use_future.hpp>

#include "yuccastair/support/clock.h"
#include "yuccastair/support/log.h"

namespace yuccastair::http {
namespace {

constexpr std::chrono::milliseconds kCheckInterval{5};

stream::Task<void> Drain(stream::asio::io_context& context,
                         stream::Server& server,
                         std::chrono::milliseconds limit) {
  const support::SteadyClock clock;
  const support::TimePoint end = clock.Now() + limit;
  stream::asio::steady_timer timer(context);
  server.StopListening();
  while (server.connections() > 0 && clock.Now() < end) {
    timer.expires_after(kCheckInterval);
    co_await timer.async_wait(stream::kAsTuple);
    // Requests that were read before the drain leave idle connections.
    server.CloseIdle();
  }
  support::LogInfo("server.drained", {{"cut", server.active()},
                                      {"connections", server.connections()}});
}

}  // namespace

void DrainServer(stream::asio::io_context& context,
                 stream::Server& server,
                 std::chrono::milliseconds limit) {
  stream::asio::co_spawn(context, Drain(context, server, limit),
                         stream::asio::use_future)
      .wait();
}

}  // namespace yuccastair::http
