// Where the body of a message that is passed on comes from.

#ifndef YUCCASTAIR_STREAM_BODY_SOURCE_H_
#define YUCCASTAIR_STREAM_BODY_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "yuccastair/stream/types.h"

namespace yuccastair::stream {

/// A body of which the beginning, often all, is in memory.
struct BodySource {
  std::string begin;
  /// Length of the whole body; nothing if it is not known in advance.
  std::optional<std::uint64_t> length;
  /// Appends more to its argument; sets the flag at the end of the body. Null
  /// if `begin` is the whole body.
  std::function<Task<ErrorCode>(std::string& out, bool& done)> more;

  bool whole() const { return more == nullptr; }
};

/// Bodies up to this size are held in memory, so that they can be sent again.
inline constexpr std::size_t kHeldBodyBytes = 64 << 10;
/// Piece in which longer bodies are passed on.
inline constexpr std::size_t kPieceBytes = 32 << 10;

/// Writes a message. A body without a known length is sent in chunks. Fails
/// if the source fails; the message is then incomplete at the receiver too.
template <bool kIsRequest>
Task<ErrorCode> WriteMessage(beast::tcp_stream& stream,
                             http::header<kIsRequest> head,
                             BodySource& source,
                             bool keep_alive);

}  // namespace yuccastair::stream

#endif  // YUCCASTAIR_STREAM_BODY_SOURCE_H_
