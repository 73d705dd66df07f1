// Hashes that identify a repeated request.

#ifndef YUCCASTAIR_ROUTING_FINGERPRINT_H_
#define YUCCASTAIR_ROUTING_FINGERPRINT_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "call.pb.h"

namespace yuccastair::routing {

/// Returns a 128-bit hash of organisation, route, method, path and body as 32
/// hexadecimal digits. It identifies requests that crash targets. The path is
/// included because requests without a body would otherwise have the same hash.
std::string CrashFingerprint(const wire::CallRequest& call);

/// Returns a 128-bit hash of the parts as 16 bytes. Different sequences of
/// parts have different hashes.
std::string BinaryFingerprint(std::initializer_list<std::string_view> parts);

/// Returns a hash of service, method, path and body, by which a node detects
/// that its target resends a call.
std::uint64_t ResendFingerprint(const wire::CallRequest& call);

}  // namespace yuccastair::routing

#endif  // YUCCASTAIR_ROUTING_FINGERPRINT_H_
