// Exchanges calls with other relays.

#include "peer_client.h"

#include <chrono>
#include <utility>

#include "call_exchange.h"
#include "peer_protocol.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

namespace http = stream::http;
using std::chrono::milliseconds;

// A running relay accepts a connection within a few ms. A longer wait means
// that it has stopped, and leaves time to try another one.
constexpr milliseconds kConnectTimeout{300};
constexpr milliseconds kMaxIdleTime{12000};
constexpr std::size_t kMaxIdleConnectionsPerRelay = 64;
// The other relay responds at the deadline at the latest; this covers the
// transfer of its response.
constexpr milliseconds kResponseTransferTime{40};

}  // namespace

PeerClient::PeerClient(stream::asio::io_context& context,
                       const support::Clock& clock)
    : context_(context),
      clock_(clock),
      pool_(context,
            {.connect_timeout = kConnectTimeout,
             .max_idle = kMaxIdleTime,
             .max_idle_per_address = kMaxIdleConnectionsPerRelay}) {}

stream::Task<CallResult> PeerClient::Send(RelayCall& call,
                                          support::Address address) {
  const support::TimePoint until = call.deadline + kResponseTransferTime;
  auto acquired = co_await pool_.Acquire(address, until);
  if (!acquired.connection) {
    CallResult result = CallResult::NotRun("cannot connect to the relay at " +
                                           address.ToString() + ": " +
                                           acquired.error.message());
    result.peer_failed = true;
    co_return result;
  }
  const auto connection = acquired.connection;
  if (call.cancellation.CheckCaller()) {
    connection->Close();
    co_return CallResult::NotRun("the caller has left");
  }
  call.cancellation.SetHandler([connection] { connection->Close(); });
  // The other relay answers whether it has sent the call to its target. The end
  // of an upload under way would break off the call itself.
  if (call.body.whole())
    call.cancellation.SetWaitHandler([connection] { connection->CloseSend(); });
  http::header<true> head = EncodeCall(call, clock_.Now());
  std::function<bool(const http::header<false>&)> accept =
      [](const http::header<false>&) { return true; };
  const stream::ErrorCode error = co_await SendRequest(
      context_, connection, std::move(head), call, std::move(accept));
  CallResult result;
  if (error || !DecodeResult(connection->reader().head().base(), result)) {
    call.cancellation.ClearHandlers();
    connection->Close();
    // Other idle connections to the relay have probably failed for the same
    // reason.
    if (acquired.kept && error == stream::beast::error::timeout) {
      support::LogInfo("peer.connections_dropped",
                       {{"address", address.ToString()}});
      pool_.Drop(address);
    }
    result = CallResult::Unknown("no answer from the relay at " +
                                 address.ToString() + ": " + error.message());
    result.peer_failed = !call.cancellation.requested();
    co_return result;
  }
  const stream::ErrorCode body_error =
      co_await ReceiveResponseBody(pool_, connection, kMaxIdleTime, result);
  FinishResponse(connection, call, result);
  if (body_error && result.outcome == wire::OUTCOME_OK)
    co_return CallResult::Unknown("the answer from the relay at " +
                                  address.ToString() +
                                  " broke off: " + body_error.message());
  co_return result;
}

}  // namespace yuccastair::relay
