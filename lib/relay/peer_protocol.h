// The headers with which relays pass calls and their outcomes to each other.

#ifndef YUCCASTAIR_LIB_RELAY_PEER_PROTOCOL_H_
#define YUCCASTAIR_LIB_RELAY_PEER_PROTOCOL_H_

#include <string>

#include "call.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Removes every header of this protocol from what a caller or a target sent.
void RemovePeerHeaders(stream::Fields& fields);

/// Returns the header with which \p call goes to another relay.
stream::http::header<true> EncodeCall(const RelayCall& call,
                                      support::TimePoint now);

/// Takes the parts of a call from a header and removes them there. Returns
/// false if the header is not that of a relay.
bool DecodeCall(stream::http::header<true> head,
                support::TimePoint now,
                RelayCall& call);

/// Returns the header of the answer to another relay; it carries the target's
/// answer, if there is one.
stream::http::header<false> EncodeResult(const CallResult& result);

/// Takes the outcome from the header of a relay's answer, and leaves that of
/// the target's answer in the result. Returns false if there is no outcome.
bool DecodeResult(stream::http::header<false> head, CallResult& result);

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_PEER_PROTOCOL_H_
