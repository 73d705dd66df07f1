// Addresses of processes as they stand in settings: IP number and port.

#ifndef YUCCASTAIR_SUPPORT_ADDRESS_H_
#define YUCCASTAIR_SUPPORT_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccastair::support {

/// An IP number with a TCP port.
struct Address {
  std::string host;
  std::uint16_t port = 0;

  std::string ToString() const { return host + ":" + std::to_string(port); }
};

inline bool operator==(const Address& a, const Address& b) {
  return a.port == b.port && a.host == b.host;
}
inline bool operator!=(const Address& a, const Address& b) {
  return !(a == b);
}

/// Parses "ip:port"; returns nothing if the text is not of that form.
std::optional<Address> ParseAddress(std::string_view text);

std::vector<std::string> ToStrings(const std::vector<Address>& addresses);

/// Sets the port of every address where \p port is not 0: for addresses of
/// processes that listen for peers at another port, equal on all instances.
void SetPorts(std::vector<Address>& addresses, std::int64_t port);

}  // namespace yuccastair::support

#endif  // YUCCASTAIR_SUPPORT_ADDRESS_H_
