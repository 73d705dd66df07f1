// Parses addresses. Host names are refused, because processes talk by IP
// number.

#include "yuccastair/support/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace yuccastair::support {

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  Address address;
  address.host = std::string(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1)
    return std::nullopt;
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc() || end != port.data() + port.size() ||
      address.port == 0)
    return std::nullopt;
  return address;
}

std::vector<std::string> ToStrings(const std::vector<Address>& addresses) {
  std::vector<std::string> texts;
  texts.reserve(addresses.size());
  for (const Address& address : addresses)
    texts.push_back(address.ToString());
  return texts;
}

void SetPorts(std::vector<Address>& addresses, std::int64_t port) {
  if (port == 0)
    return;
  for (Address& address : addresses)
    address.port = static_cast<std::uint16_t>(port);
}

}  // namespace yuccastair::support
