// Decides where the body of a request ends.

#ifndef YUCCASTAIR_LIB_HTTP_FRAMING_H_
#define YUCCASTAIR_LIB_HTTP_FRAMING_H_

#include <cstddef>
#include <iosfwd>
#include <optional>
#include <string>

namespace cxxtools::http {
class MessageHeader;
}

namespace yuccastair::http {

/// How the body of a request is delimited.
struct Framing {
  /// Status with which the request must be refused, or 0.
  int status = 0;
  bool chunked = false;
  std::size_t length = 0;
  /// The sender waits for "100 Continue" before it sends the body.
  bool wants_continue = false;
};

/// Reads the framing from the headers. Anything that two servers could
/// understand differently is refused with 400, because a request could be
/// smuggled in the difference.
Framing FramingOf(const cxxtools::http::MessageHeader& header);

/// Reads a line that ends in CRLF into \p line, without its end. Returns false
/// at the end of the input, in a timeout and for a line that is too long.
bool ReadLine(std::istream& in, std::string& line);

/// Parses the line before a chunk, with or without extensions.
std::optional<std::size_t> ParseChunkSize(const std::string& line);

}  // namespace yuccastair::http

#endif  // YUCCASTAIR_LIB_HTTP_FRAMING_H_
