// Recognises a request that crashes targets when it comes again.

#ifndef YUCCASTAIR_ROUTING_FINGERPRINT_H_
#define YUCCASTAIR_ROUTING_FINGERPRINT_H_

#include <cstdint>
#include <string>

#include "call.pb.h"

namespace yuccastair::routing {

/// Returns a 128-bit hash of organisation, route, method, path and body as 32
/// hexadecimal digits. The path is part of it because requests without a body
/// would otherwise all be one.
std::string CrashFingerprint(const wire::CallRequest& call);

/// Returns a hash of service, method, path and body, by which a node recognises
/// that its target sends a call again.
std::uint64_t ResendFingerprint(const wire::CallRequest& call);

}  // namespace yuccastair::routing

#endif  // YUCCASTAIR_ROUTING_FINGERPRINT_H_
