// Hashes of requests.

#include "request_hash.h"

#include <xxhash.h>

#include <iterator>

namespace yuccastair::node {
namespace {

std::string Hash128(const std::string& text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, hash);
  return {std::begin(bytes.digest), std::end(bytes.digest)};
}

std::string EncodeContent(const wire::CallRequest& call) {
  std::string content;
  AppendLengthPrefixed(content, call.method());
  AppendLengthPrefixed(content, call.path());
  content += call.body();
  return content;
}

}  // namespace

void AppendLengthPrefixed(std::string& text, const std::string& part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

std::string ContentHash(const wire::CallRequest& call) {
  return Hash128(EncodeContent(call));
}

std::string RequestFingerprint(const wire::CallRequest& call) {
  std::string text;
  AppendLengthPrefixed(text, call.organisation());
  AppendLengthPrefixed(text, call.route());
  return Hash128(text + EncodeContent(call));
}

}  // namespace yuccastair::node
