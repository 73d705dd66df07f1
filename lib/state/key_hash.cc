// Key texts and their BLAKE2b hashes, by libsodium.

#include "yuccastair/state/key_hash.h"

#include <sodium.h>

#include <algorithm>

#include "yuccastair/state/json.h"
#include "yuccastair/support/error.h"

namespace yuccastair::state {
namespace {

bool IsHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

bool IsKeyId(std::string_view text) {
  return text.size() == kKeyIdDigits && IsHex(text);
}

std::optional<KeyParts> SplitKey(std::string_view text) {
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos || dot == 0)
    return std::nullopt;
  const std::string_view secret = text.substr(dot + 1);
  if (secret.size() != kSecretDigits || !IsHex(secret))
    return std::nullopt;
  return KeyParts{text.substr(0, dot), secret.substr(0, kKeyIdDigits), secret};
}

std::string HashSecret(std::string_view secret, const std::string& salt) {
  static const int initialised = sodium_init();
  std::string hash(kHashSize, '\0');
  if (initialised < 0 ||
      crypto_generichash(reinterpret_cast<unsigned char*>(hash.data()),
                         hash.size(), Bytes(secret), secret.size(), Bytes(salt),
                         salt.size()) != 0)
    throw support::Error("hash key", "", "libsodium refused to hash a key");
  return hash;
}

bool SecretMatches(std::string_view secret, const wire::Key& key) {
  const std::string hash = HashSecret(secret, key.salt());
  return key.hash().size() == hash.size() &&
         sodium_memcmp(hash.data(), key.hash().data(), hash.size()) == 0;
}

IssuedKey IssueKey(const std::string& organisation,
                   const std::function<std::string(std::size_t)>& random_hex) {
  const std::string secret = random_hex(kSecretDigits / 2);
  const std::string salt = FromHex(random_hex(kSaltSize));
  IssuedKey issued;
  issued.text = organisation + "." + secret;
  issued.record.set_organisation(organisation);
  issued.record.set_id(secret.substr(0, kKeyIdDigits));
  issued.record.set_salt(salt);
  issued.record.set_hash(HashSecret(secret, salt));
  return issued;
}

}  // namespace yuccastair::state
