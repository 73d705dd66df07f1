// Computes request fingerprints with XXH3.

#include "yuccastair/routing/fingerprint.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <iterator>
#include <memory>

namespace yuccastair::routing {
namespace {

struct FreeState {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};
using State = std::unique_ptr<XXH3_state_t, FreeState>;

/// Hashes each part with its length, so that different splits of the same bytes
/// have different hashes.
State HashParts(std::initializer_list<std::string_view> parts) {
  State state(XXH3_createState());
  XXH3_128bits_reset(state.get());
  for (const std::string_view part : parts) {
    const std::uint64_t size = part.size();
    XXH3_128bits_update(state.get(), &size, sizeof size);
    XXH3_128bits_update(state.get(), part.data(), part.size());
  }
  return state;
}

}  // namespace

std::string CrashFingerprint(const wire::CallRequest& call) {
  const State state = HashParts({call.organisation(), call.route(),
                                 call.method(), call.path(), call.body()});
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text.data();
}

std::string BinaryFingerprint(std::initializer_list<std::string_view> parts) {
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, XXH3_128bits_digest(HashParts(parts).get()));
  return {std::begin(bytes.digest), std::end(bytes.digest)};
}

std::uint64_t ResendFingerprint(const wire::CallRequest& call) {
  const State state =
      HashParts({call.service(), call.method(), call.path(), call.body()});
  return XXH3_128bits_digest(state.get()).low64;
}

}  // namespace yuccastair::routing
