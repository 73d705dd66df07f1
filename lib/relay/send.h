// Sends a request over a connection and receives the answer.

#ifndef YUCCASTAIR_LIB_RELAY_SEND_H_
#define YUCCASTAIR_LIB_RELAY_SEND_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "call.h"
#include "yuccastair/stream/client.h"
#include "yuccastair/stream/server.h"

namespace yuccastair::relay {

/// Largest header of an answer. Callers are bound to 16 KiB by default, and an
/// answer carries less.
inline constexpr std::uint32_t kMaxAnswerHeaderBytes = 32 << 10;

/// Sends the request and reads the header of the answer, which may come before
/// the body has been sent. \p accept decides whether a header belongs to this
/// request; others are read over, because a target may answer an earlier
/// request twice.
stream::Task<stream::ErrorCode> SendRequest(
    stream::asio::io_context& context,
    std::shared_ptr<stream::ClientConnection> connection,
    stream::http::header<true> head,
    RelayCall& call,
    std::function<bool(const stream::http::header<false>&)> accept);

/// Reads the body of the answer into \p result, all of it if it is short. Gives
/// the connection back to \p pool when the body has ended.
stream::Task<stream::ErrorCode> ReceiveBody(
    stream::ConnectionPool& pool,
    std::shared_ptr<stream::ClientConnection> connection,
    std::chrono::milliseconds max_idle,
    CallResult& result);

/// Lets a caller that leaves end an answer whose body is not in memory yet, and
/// nothing once it is.
void FinishAnswer(const std::shared_ptr<stream::ClientConnection>& connection,
                  RelayCall& call,
                  CallResult& result);

/// Makes \p call end when its caller leaves. While a long body is read from the
/// caller, its end shows there.
void FollowCaller(stream::ServerExchange& exchange, RelayCall& call);

/// Returns the header of an answer of this process.
stream::http::header<false> HeadWith(unsigned status);

/// Passes an answer on to a client; an answer that ends early is cut off.
stream::Task<bool> DeliverAnswer(stream::ServerExchange& exchange,
                                 CallResult& result);

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_SEND_H_
