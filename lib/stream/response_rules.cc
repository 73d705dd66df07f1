// Checks response heads and classifies errors.

#include "yuccastair/stream/response_rules.h"

namespace yuccastair::stream {
namespace {

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

}  // namespace

ErrorCode FindHeadError(const http::header<false>& head) {
  if (head.result_int() < kMinStatus || head.result_int() > kMaxStatus)
    return http::error::bad_status;
  const auto lengths = head.count(http::field::content_length);
  const auto codings = head.count(http::field::transfer_encoding);
  if (lengths + codings > 1)
    return http::error::bad_content_length;
  // The parser passes on the content of any other coding without decoding it.
  if (codings > 0 &&
      !beast::iequals(head[http::field::transfer_encoding], "chunked"))
    return http::error::bad_transfer_encoding;
  return {};
}

bool IsInvalidResponse(const ErrorCode& error) {
  static const ErrorCode parse_error = http::error::bad_status;
  return error.category() == parse_error.category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

}  // namespace yuccastair::stream
