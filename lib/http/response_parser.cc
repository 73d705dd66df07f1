// The states of a response.

#include "yuccastair/http/response_parser.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace yuccastair::http {
namespace {

constexpr std::size_t kMaxHeadBytes = std::size_t{64} << 10;
constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 20;

std::string_view Trim(std::string_view text) {
  const auto is_blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && is_blank(text.front()))
    text.remove_prefix(1);
  while (!text.empty() && is_blank(text.back()))
    text.remove_suffix(1);
  return text;
}

std::optional<std::size_t> ParseNumber(std::string_view text, int base) {
  std::size_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value, base);
  if (text.empty() || error != std::errc() || stop != end)
    return std::nullopt;
  return value;
}

/// Returns whether a comma-separated list has \p token as its last element, or
/// anywhere.
bool HasToken(std::string_view list, std::string_view token, bool last_only) {
  bool found = false;
  while (true) {
    const std::size_t comma = list.find(',');
    const std::string_view element = Trim(list.substr(0, comma));
    const bool equal = SameName(element, token);
    found = last_only ? equal : found || equal;
    if (comma == std::string_view::npos)
      return found;
    list.remove_prefix(comma + 1);
  }
}

}  // namespace

ResponseParser::ResponseParser(const std::string& method)
    : head_request_(method == "HEAD") {}

void ResponseParser::Consume(std::string_view bytes) {
  if (complete() || failed()) {
    // Bytes that nobody asked for.
    keep_alive_ = false;
    return;
  }
  buffer_.append(bytes);
  while (Step()) {
  }
  if (complete() && !buffer_.empty())
    keep_alive_ = false;
}

void ResponseParser::OnClose() {
  if (state_ == State::kUntilClose)
    state_ = State::kComplete;
  else if (!complete() && !failed())
    Fail(state_ == State::kHead && buffer_.empty()
             ? "the connection closed without a response"
             : "the response was cut short");
}

void ResponseParser::OnReset() {
  if (!complete() && !failed())
    Fail("the connection was reset");
}

bool ResponseParser::Step() {
  switch (state_) {
    case State::kHead:
      return ReadHead();
    case State::kLength:
      return ReadBytes(State::kComplete);
    case State::kChunkSize:
      return ReadChunkSize();
    case State::kChunkData:
      return ReadBytes(State::kChunkEnd);
    case State::kChunkEnd:
      return ReadChunkEnd();
    case State::kTrailer:
      return ReadTrailer();
    case State::kUntilClose:
      left_ = buffer_.size();
      ReadBytes(State::kUntilClose);
      return false;
    case State::kComplete:
    case State::kFailed:
      return false;
  }
  return false;
}

bool ResponseParser::ReadHead() {
  const std::size_t end = buffer_.find("\r\n\r\n");
  if (end == std::string::npos || end > kMaxHeadBytes) {
    if (buffer_.size() > kMaxHeadBytes)
      Fail("the head of the response is too large");
    return false;
  }
  const std::string head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  response_ = Response();
  std::size_t begin = 0;
  bool first = true;
  while (begin < head.size()) {
    const std::size_t stop = head.find("\r\n", begin);
    const std::string_view line =
        std::string_view(head).substr(begin, stop - begin);
    if (!(first ? ParseStatusLine(line) : ParseHeaderLine(line))) {
      Fail("the head of the response is malformed");
      return false;
    }
    first = false;
    begin = stop + 2;
  }
  ChooseFraming();
  return true;
}

bool ResponseParser::ParseStatusLine(std::string_view line) {
  http_1_0_ = line.substr(0, 9) == "HTTP/1.0 ";
  if (!http_1_0_ && line.substr(0, 9) != "HTTP/1.1 ")
    return false;
  const auto status = ParseNumber(line.substr(9, 3), 10);
  if (!status || *status < 100 || *status > 599 ||
      (line.size() > 12 && line[12] != ' '))
    return false;
  response_.status = static_cast<int>(*status);
  return true;
}

bool ResponseParser::ParseHeaderLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  // A blank before the colon, or a folded line, is refused as ambiguous.
  if (colon == std::string_view::npos || colon == 0 ||
      line.substr(0, colon).find_first_of(" \t") != std::string_view::npos)
    return false;
  response_.headers.push_back({std::string(line.substr(0, colon)),
                               std::string(Trim(line.substr(colon + 1)))});
  return true;
}

void ResponseParser::ChooseFraming() {
  keep_alive_ = !http_1_0_;
  std::optional<std::size_t> length;
  bool encoded = false;
  bool chunked = false;
  for (const Header& header : response_.headers) {
    if (SameName(header.name, "Content-Length")) {
      const auto value = ParseNumber(header.value, 10);
      if (!value || (length && *length != *value))
        return Fail("the response has no single valid length");
      length = value;
    } else if (SameName(header.name, "Transfer-Encoding")) {
      encoded = true;
      chunked = HasToken(header.value, "chunked", true);
    } else if (SameName(header.name, "Connection")) {
      if (HasToken(header.value, "close", false))
        keep_alive_ = false;
      else if (HasToken(header.value, "keep-alive", false))
        keep_alive_ = true;
    }
  }
  const int status = response_.status;
  if (status / 100 == 1) {
    if (status == 101)
      return Fail("the target switched protocols");
    state_ = State::kHead;
  } else if (head_request_ || status == 204 || status == 304) {
    state_ = State::kComplete;
  } else if (chunked) {
    state_ = State::kChunkSize;
  } else if (encoded || !length) {
    keep_alive_ = false;
    state_ = State::kUntilClose;
  } else if (*length > kMaxBodyBytes) {
    Fail("the response body is too large");
  } else {
    left_ = *length;
    state_ = left_ == 0 ? State::kComplete : State::kLength;
  }
}

bool ResponseParser::ReadBytes(State next) {
  const std::size_t count = std::min(left_, buffer_.size());
  if (response_.body.size() + count > kMaxBodyBytes) {
    Fail("the response body is too large");
    return false;
  }
  response_.body.append(buffer_, 0, count);
  buffer_.erase(0, count);
  left_ -= count;
  if (left_ > 0)
    return false;
  state_ = next;
  return true;
}

std::optional<std::string> ResponseParser::TakeLine() {
  const std::size_t end = buffer_.find("\r\n");
  if (end == std::string::npos) {
    if (buffer_.size() > kMaxHeadBytes)
      Fail("a line of the response is too long");
    return std::nullopt;
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

bool ResponseParser::ReadChunkSize() {
  const auto line = TakeLine();
  if (!line)
    return false;
  const std::string_view digits =
      Trim(std::string_view(*line).substr(0, line->find(';')));
  const auto size = ParseNumber(digits, 16);
  if (!size || *size > kMaxBodyBytes) {
    Fail("the response has a malformed chunk");
    return false;
  }
  left_ = *size;
  state_ = left_ == 0 ? State::kTrailer : State::kChunkData;
  return true;
}

bool ResponseParser::ReadChunkEnd() {
  if (buffer_.size() < 2)
    return false;
  if (buffer_.compare(0, 2, "\r\n") != 0) {
    Fail("the response has a malformed chunk");
    return false;
  }
  buffer_.erase(0, 2);
  state_ = State::kChunkSize;
  return true;
}

bool ResponseParser::ReadTrailer() {
  const auto line = TakeLine();
  if (!line)
    return false;
  if (line->empty())
    state_ = State::kComplete;
  return true;
}

void ResponseParser::Fail(const std::string& error) {
  state_ = State::kFailed;
  error_ = error;
}

}  // namespace yuccastair::http
