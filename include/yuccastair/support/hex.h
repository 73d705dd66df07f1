// Bytes as hexadecimal digits.

#ifndef YUCCASTAIR_SUPPORT_HEX_H_
#define YUCCASTAIR_SUPPORT_HEX_H_

#include <optional>
#include <string>
#include <string_view>

namespace yuccastair::support {

/// Returns two lower-case digits for each byte.
std::string ToHex(std::string_view bytes);

/// Returns nothing if \p digits is not the form of whole bytes.
std::optional<std::string> FromHex(std::string_view digits);

}  // namespace yuccastair::support

#endif  // YUCCASTAIR_SUPPORT_HEX_H_
