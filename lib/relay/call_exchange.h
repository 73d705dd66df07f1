// Sends a request over a connection and receives the response.

#ifndef YUCCASTAIR_LIB_RELAY_CALL_EXCHANGE_H_
#define YUCCASTAIR_LIB_RELAY_CALL_EXCHANGE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "call.h"
#include "yuccastair/stream/client.h"
#include "yuccastair/stream/server.h"

namespace yuccastair::relay {

/// Maximum size of a response header. Callers are limited to 16 KiB by default,
/// and responses have smaller headers.
inline constexpr std::uint32_t kMaxResponseHeaderBytes = 32 << 10;

/// Sends the request and reads the header of the response, which may arrive
/// before the body has been sent. \p accept returns whether a header belongs to
/// this request. Other responses are skipped, because a target may respond
/// twice to an earlier request.
stream::Task<stream::ErrorCode> SendRequest(
    stream::asio::io_context& context,
    std::shared_ptr<stream::ClientConnection> connection,
    stream::http::header<true> head,
    RelayCall& call,
    std::function<bool(const stream::http::header<false>&)> accept);

/// Reads the response body into \p result, in full if it is short. Returns the
/// connection to \p pool when the body has ended.
stream::Task<stream::ErrorCode> ReceiveResponseBody(
    stream::ConnectionPool& pool,
    std::shared_ptr<stream::ClientConnection> connection,
    std::chrono::milliseconds max_idle,
    CallResult& result);

/// Completes the handling of a response. If the body is not yet in memory, a
/// disconnect of the caller closes the connection; otherwise it has no effect
/// any more.
void FinishResponse(const std::shared_ptr<stream::ClientConnection>& connection,
                    RelayCall& call,
                    CallResult& result);

/// Cancels \p call when its caller disconnects. While a long body is still
/// being read from the caller, the disconnect shows as a read error.
void WatchForDisconnect(stream::ServerExchange& exchange, RelayCall& call);

/// Returns the head of a response that this process creates.
stream::http::header<false> MakeResponseHead(unsigned status);

/// Forwards a response to a client; the connection is aborted if the body ends
/// early.
stream::Task<bool> DeliverResponse(stream::ServerExchange& exchange,
                                   CallResult& result);

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_CALL_EXCHANGE_H_
