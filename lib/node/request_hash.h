// Hashes that identify equal requests across nodes.

#ifndef YUCCASTAIR_LIB_NODE_REQUEST_HASH_H_
#define YUCCASTAIR_LIB_NODE_REQUEST_HASH_H_

#include <string>

#include "envelope.pb.h"

namespace yuccastair::node {

/// Appends \p part with its length, so that different sequences of parts never
/// produce the same text.
void AppendLengthPrefixed(std::string& text, const std::string& part);

/// Returns the 16-byte hash of method, path and body.
std::string ContentHash(const wire::CallRequest& call);

/// Returns the 16-byte hash of organisation, route, method, path and body.
std::string RequestFingerprint(const wire::CallRequest& call);

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_REQUEST_HASH_H_
