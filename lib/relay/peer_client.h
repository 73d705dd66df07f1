// Forwards calls to the relays of other targets.

#ifndef YUCCASTAIR_LIB_RELAY_PEER_CLIENT_H_
#define YUCCASTAIR_LIB_RELAY_PEER_CLIENT_H_

#include "call.h"
#include "yuccastair/stream/client.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

class PeerClient {
 public:
  PeerClient(stream::asio::io_context& context, const support::Clock& clock);

  /// Sends a call to the relay at \p address and returns its outcome.
  stream::Task<CallResult> Send(RelayCall& call, support::Address address);

  /// Closes connections that have exceeded their idle time.
  void CloseIdle() { pool_.CloseIdle(); }

 private:
  stream::asio::io_context& context_;
  const support::Clock& clock_;
  stream::ConnectionPool pool_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_PEER_CLIENT_H_
