// Random identifiers from libsodium's generator.

#include "yuccastair/support/id.h"

#include <sodium.h>

#include <vector>

#include "yuccastair/support/error.h"

namespace yuccastair::support {
namespace {

void EnsureSodium() {
  static const int initialised = sodium_init();
  if (initialised < 0)
    throw Error("start", "", "libsodium could not be initialised");
}

}  // namespace

std::string RandomHex(std::size_t bytes) {
  EnsureSodium();
  std::vector<unsigned char> raw(bytes);
  randombytes_buf(raw.data(), raw.size());
  std::string text(bytes * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), raw.data(), raw.size());
  text.pop_back();
  return text;
}

std::uint32_t RandomBelow(std::uint32_t bound) {
  EnsureSodium();
  return bound == 0 ? 0 : randombytes_uniform(bound);
}

}  // namespace yuccastair::support
