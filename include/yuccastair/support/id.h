// Random identifiers for requests, attempts, spans and incarnations.

#ifndef YUCCASTAIR_SUPPORT_ID_H_
#define YUCCASTAIR_SUPPORT_ID_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace yuccastair::support {

/// Returns \p bytes random bytes as lower-case hexadecimal digits.
std::string RandomHex(std::size_t bytes);

/// Returns a random 128-bit identifier as 32 hexadecimal digits.
inline std::string RandomId() {
  return RandomHex(16);
}

/// Returns a uniformly distributed number below \p bound; 0 for a bound of 0.
std::uint32_t RandomBelow(std::uint32_t bound);

}  // namespace yuccastair::support

#endif  // YUCCASTAIR_SUPPORT_ID_H_
