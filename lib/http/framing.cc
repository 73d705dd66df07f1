// Content-Length, Transfer-Encoding and chunk sizes, read strictly.

#include "framing.h"

#include <cxxtools/http/messageheader.h>

#include <algorithm>
#include <charconv>
#include <istream>
#include <string_view>

#include "yuccastair/http/message.h"

namespace yuccastair::http {
namespace {

constexpr int kBadRequest = 400;
constexpr int kExpectationFailed = 417;
constexpr std::size_t kMaxLineBytes = 4096;
constexpr std::string_view kTokenCharacters =
    "!#$%&'*+-.^_`|~0123456789"
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

std::optional<std::size_t> ParseNumber(std::string_view text, int base) {
  std::size_t number = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number, base);
  if (error != std::errc() || last != end || text.empty() || text[0] == '-')
    return std::nullopt;
  return number;
}

bool IsToken(std::string_view name) {
  return !name.empty() &&
         name.find_first_not_of(kTokenCharacters) == std::string_view::npos;
}

}  // namespace

Framing FramingOf(const cxxtools::http::MessageHeader& header) {
  Framing framing;
  int lengths = 0;
  int encodings = 0;
  for (const auto& [name, value] : header) {
    if (!IsToken(name))
      framing.status = kBadRequest;
    if (SameName(name, "Content-Length")) {
      ++lengths;
      const auto length = ParseNumber(value, 10);
      framing.length = length.value_or(0);
      if (!length)
        framing.status = kBadRequest;
    } else if (SameName(name, "Transfer-Encoding")) {
      ++encodings;
      framing.chunked = SameName(value, "chunked");
    } else if (SameName(name, "Expect")) {
      framing.wants_continue = SameName(value, "100-continue");
      if (!framing.wants_continue && framing.status == 0)
        framing.status = kExpectationFailed;
    }
  }
  if (lengths + encodings > 1 || (encodings == 1 && !framing.chunked))
    framing.status = kBadRequest;
  return framing;
}

bool ReadLine(std::istream& in, std::string& line) {
  line.clear();
  char next = 0;
  while (line.size() < kMaxLineBytes && in.get(next)) {
    if (next == '\n') {
      if (line.empty() || line.back() != '\r')
        break;
      line.pop_back();
      return true;
    }
    line.push_back(next);
  }
  in.setstate(std::ios::failbit);
  return false;
}

std::optional<std::size_t> ParseChunkSize(const std::string& line) {
  std::string_view size = line;
  size = size.substr(0, size.find(';'));
  while (!size.empty() && (size.back() == ' ' || size.back() == '\t'))
    size.remove_suffix(1);
  return ParseNumber(size, 16);
}

}  // namespace yuccastair::http
