// The headers in which relays exchange calls and their outcomes.

#ifndef YUCCASTAIR_LIB_RELAY_PEER_PROTOCOL_H_
#define YUCCASTAIR_LIB_RELAY_PEER_PROTOCOL_H_

#include <string>

#include "call.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Removes the headers of this protocol from a message of a caller or a target.
void RemovePeerHeaders(stream::Fields& fields);

/// Returns the head with which \p call is sent to another relay.
stream::http::header<true> EncodeCall(const RelayCall& call,
                                      support::TimePoint now);

/// Decodes a call from a header and removes the protocol's headers from it.
/// Returns false if the header is not that of a relay.
bool DecodeCall(stream::http::header<true> head,
                support::TimePoint now,
                RelayCall& call);

/// Returns the head of the response to another relay. It carries the target's
/// response, if there is one.
stream::http::header<false> EncodeResult(const CallResult& result);

/// Decodes the outcome from the head of a relay's response; the head of the
/// target's response remains in the result. Returns false if there is no valid
/// outcome.
bool DecodeResult(stream::http::header<false> head, CallResult& result);

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_PEER_PROTOCOL_H_
