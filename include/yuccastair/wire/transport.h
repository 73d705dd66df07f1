// Carries envelopes between the processes of the system over ZeroMQ.

#ifndef YUCCASTAIR_WIRE_TRANSPORT_H_
#define YUCCASTAIR_WIRE_TRANSPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "envelope.pb.h"

namespace yuccastair::wire {

/// The way back to the sender of a request that came in on the bound socket.
struct ReplyRoute {
  std::string identity;
};

/// The CURVE key pair that all processes of a deployment share, in Z85 text.
struct CurveKeyPair {
  std::string public_key;
  std::string secret_key;
};

/// Returns a new key pair for CURVE.
CurveKeyPair GenerateCurveKeyPair();

/// Sends requests to peers, receives theirs, and carries the answers back.
///
/// One thread owns all sockets. Requests go out on one connection per peer and
/// their answers come back on it; requests of others come in on the bound
/// socket and are answered through their ReplyRoute. A message for a peer that
/// cannot be reached is dropped after Options::connect_timeout, so that no
/// stale request is delivered when the peer comes back.
class Transport {
 public:
  struct Options {
    /// "ip:port" to bind; empty for a process that only sends requests.
    std::string listen;
    std::optional<CurveKeyPair> curve;
    std::chrono::milliseconds connect_timeout{250};
    /// Outbound messages that may wait for the transport thread.
    std::size_t ring_capacity = 16384;
    /// Period of on_tick.
    std::chrono::milliseconds tick{20};
  };

  /// All handlers run on the transport thread and must not block.
  struct Handlers {
    std::function<void(const ReplyRoute&, Envelope)> on_request;
    std::function<void(const std::string& address, Envelope)> on_answer;
    /// The message was dropped before it was handed to a connection, so that
    /// the peer certainly has not received it.
    std::function<void(const std::string& address, Envelope)> on_undelivered;
    std::function<void()> on_tick;
  };

  /// Binds the socket and starts the thread. Throws Error with step "bind" if
  /// the address cannot be bound.
  Transport(Options options, Handlers handlers);
  ~Transport();

  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /// Queues a request for the peer at \p address. Returns false if the ring is
  /// full; nothing was sent then. Safe to call from any thread.
  bool Send(const std::string& address, Envelope envelope);

  /// Queues an answer. Returns false if the ring is full.
  bool Reply(const ReplyRoute& route, Envelope envelope);

  /// Closes the connection to a peer; the next Send opens a fresh one.
  bool Disconnect(const std::string& address);

  struct Counters {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
  };
  Counters counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccastair::wire

#endif  // YUCCASTAIR_WIRE_TRANSPORT_H_
