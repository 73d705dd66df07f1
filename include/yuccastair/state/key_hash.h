// Keys of organisations: their text form and the hash that is kept of them.

#ifndef YUCCASTAIR_STATE_KEY_HASH_H_
#define YUCCASTAIR_STATE_KEY_HASH_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "state.pb.h"

namespace yuccastair::state {

/// A secret is 76 hexadecimal digits: the key's id (12), then 256 random bits.
inline constexpr std::size_t kKeyIdDigits = 12;
inline constexpr std::size_t kSecretDigits = kKeyIdDigits + 64;
inline constexpr std::size_t kSaltSize = 16;
inline constexpr std::size_t kHashSize = 32;

bool IsKeyId(std::string_view text);

/// The parts of a key's text `<organisation>.<secret>`, which it refers to.
struct KeyParts {
  std::string_view organisation;
  std::string_view id;
  std::string_view secret;
};

/// Returns nothing if the text does not have the form of a key.
std::optional<KeyParts> SplitKey(std::string_view text);

/// Returns the hash of a secret under a salt of kSaltSize bytes.
///
/// It is BLAKE2b keyed with the salt (crypto_generichash). A slow password hash
/// is not needed, since a secret has 256 random bits, and would cost more than
/// the request itself; crypto_shorthash has only 64 bits, few enough to search
/// for a second secret with the same hash.
std::string HashSecret(std::string_view secret, const std::string& salt);

/// Compares in constant time.
bool SecretMatches(std::string_view secret, const wire::Key& key);

struct IssuedKey {
  /// Shown once and kept nowhere.
  std::string text;
  wire::Key record;
};

/// Makes a key from \p random_hex, which returns the hexadecimal digits of that
/// many random bytes.
IssuedKey IssueKey(const std::string& organisation,
                   const std::function<std::string(std::size_t)>& random_hex);

}  // namespace yuccastair::state

#endif  // YUCCASTAIR_STATE_KEY_HASH_H_
