// Converts bytes to hexadecimal digits and back, with libsodium.

#include "yuccastair/support/hex.h"

#include <sodium.h>

namespace yuccastair::support {

std::string ToHex(std::string_view bytes) {
  std::string digits(2 * bytes.size() + 1, '\0');
  sodium_bin2hex(digits.data(), digits.size(),
                 reinterpret_cast<const unsigned char*>(bytes.data()),
                 bytes.size());
  digits.pop_back();
  return digits;
}

std::optional<std::string> FromHex(std::string_view digits) {
  std::string bytes(digits.size() / 2, '\0');
  std::size_t size = 0;
  const char* end = nullptr;
  if (sodium_hex2bin(reinterpret_cast<unsigned char*>(bytes.data()),
                     bytes.size(), digits.data(), digits.size(), nullptr, &size,
                     &end) != 0 ||
      end != digits.data() + digits.size() || 2 * size != digits.size())
    return std::nullopt;
  return bytes;
}

}  // namespace yuccastair::support
