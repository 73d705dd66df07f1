// The names of Asio and Beast that the event-driven HTTP code uses.

#ifndef YUCCASTAIR_STREAM_TYPES_H_
#define YUCCASTAIR_STREAM_TYPES_H_

// Boost 1.81 uses std::exchange without including its header.
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "yuccastair/support/address.h"

namespace yuccastair::stream {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using ErrorCode = boost::system::error_code;
using Fields = http::fields;

template <typename T>
using Task = asio::awaitable<T>;

/// Makes an operation return its error code in place of throwing it.
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// Throws Error with step "parse address" if the host is no IP number.
asio::ip::tcp::endpoint ToEndpoint(const support::Address& address);

/// Removes the fields that concern one connection only, and those that frame
/// the body: each connection writes its own.
void RemoveHopByHop(Fields& fields);

}  // namespace yuccastair::stream

#endif  // YUCCASTAIR_STREAM_TYPES_H_
