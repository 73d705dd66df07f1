// Hashes of requests.

#include "request_hash.h"

#include <xxhash.h>

#include <iterator>

namespace yuccastair::node {
namespace {

std::string Hash(const std::string& text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, hash);
  return {std::begin(bytes.digest), std::end(bytes.digest)};
}

std::string ContentOf(const wire::CallRequest& call) {
  std::string content;
  AppendPart(content, call.method());
  AppendPart(content, call.path());
  content += call.body();
  return content;
}

}  // namespace

void AppendPart(std::string& text, const std::string& part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

std::string ContentHash(const wire::CallRequest& call) {
  return Hash(ContentOf(call));
}

std::string Fingerprint(const wire::CallRequest& call) {
  std::string text;
  AppendPart(text, call.organisation());
  AppendPart(text, call.route());
  return Hash(text + ContentOf(call));
}

}  // namespace yuccastair::node
