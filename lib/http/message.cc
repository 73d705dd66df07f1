// Header look-ups that ignore case.

#include "yuccastair/http/message.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace yuccastair::http {
namespace {

// Content-Length is set anew from the body on each connection.
constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection", "keep-alive", "proxy-connection",
    "te",         "trailer",    "transfer-encoding",
    "upgrade",    "expect",     "content-length"};

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string FindHeader(const std::vector<Header>& headers,
                       std::string_view name) {
  for (const Header& header : headers) {
    if (SameName(header.name, name))
      return header.value;
  }
  return "";
}

void RemoveHeader(std::vector<Header>& headers, std::string_view name) {
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [&](const Header& header) {
                                 return SameName(header.name, name);
                               }),
                headers.end());
}

void RemoveHopByHopHeaders(std::vector<Header>& headers) {
  const auto is_hop_by_hop = [](const Header& header) {
    return std::any_of(
        kHopByHop.begin(), kHopByHop.end(),
        [&](std::string_view name) { return SameName(header.name, name); });
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), is_hop_by_hop),
                headers.end());
}

}  // namespace yuccastair::http
