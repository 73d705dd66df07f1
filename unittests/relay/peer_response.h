// Responses of another relay, for scripted targets.

#ifndef YUCCASTAIR_UNITTESTS_RELAY_PEER_RESPONSE_H_
#define YUCCASTAIR_UNITTESTS_RELAY_PEER_RESPONSE_H_

#include <sstream>
#include <string>

#include "peer_protocol.h"

namespace yuccastair::relay {

/// Returns the bytes of another relay's response with \p result.
inline std::string PeerResponse(const CallResult& result) {
  namespace http = stream::http;
  http::response<http::empty_body> message{EncodeResult(result)};
  message.prepare_payload();
  std::ostringstream text;
  text << message;
  return text.str();
}

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_UNITTESTS_RELAY_PEER_RESPONSE_H_
