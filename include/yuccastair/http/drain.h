// Ends the service of an event-driven server without cutting off answers.

#ifndef YUCCASTAIR_HTTP_DRAIN_H_
#define YUCCASTAIR_HTTP_DRAIN_H_

#include <chrono>

#include "yuccastair/stream/server.h"

namespace yuccastair::http {

/// Stops listening, closes idle connections, and returns when each request that
/// has begun to arrive is answered and its connection closed, or after
/// \p limit. Another thread runs \p context.
void DrainServer(stream::asio::io_context& context,
                 stream::Server& server,
                 std::chrono::milliseconds limit);

}  // namespace yuccastair::http

#endif  // YUCCASTAIR_HTTP_DRAIN_H_
