// The transport thread: one ROUTER socket for requests of others and one DEALER
// socket for each peer that this process sends requests to.

#include "yuccastair/wire/transport.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <deque>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>
#include <zmq.hpp>

#include "yuccastair/support/bounded_ring.h"
#include "yuccastair/support/error.h"
#include "yuccastair/support/log.h"

namespace yuccastair::wire {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kZ85KeySize = 40;
// A connection that shows no sign of life for this long is closed and opened
// anew: its peer may be gone, or a device in between may have lost its state.
constexpr std::chrono::milliseconds kHeartbeatInterval{500};
constexpr std::chrono::milliseconds kHeartbeatTimeout{1500};
// An attempt to connect is given up after this time and made anew: the kernel
// repeats a lost first packet only after ever longer pauses.
constexpr std::chrono::milliseconds kConnectAttempt{500};
// Heartbeats begin once both ends have greeted each other.
constexpr std::chrono::milliseconds kHandshakeTimeout{1000};
constexpr std::chrono::milliseconds kMinReconnectPause{50};
constexpr std::chrono::milliseconds kMaxReconnectPause{400};
constexpr int kMaxReceivedPerWakeup = 256;
constexpr std::chrono::milliseconds kRetryInterval{2};

struct OutboundRequest {
  std::string address;
  Envelope envelope;
};
struct OutboundReply {
  ReplyRoute route;
  Envelope envelope;
};
struct CloseConnection {
  std::string address;
};
using Command = std::variant<OutboundRequest, OutboundReply, CloseConnection>;

struct WaitingRequest {
  Envelope envelope;
  SteadyClock::time_point expires;
};

struct Peer {
  zmq::socket_t socket;
  // Requests that wait for the connection, oldest first.
  std::deque<WaitingRequest> waiting;
};

template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

int ToMilliseconds(std::chrono::milliseconds duration) {
  return static_cast<int>(duration.count());
}

}  // namespace

CurveKeyPair GenerateCurveKeyPair() {
  std::array<char, kZ85KeySize + 1> public_key{};
  std::array<char, kZ85KeySize + 1> secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0)
    throw support::Error("generate key pair", "",
                         "libzmq was built without CURVE");
  return {public_key.data(), secret_key.data()};
}

class Transport::Impl {
 public:
  Impl(Options options, Handlers handlers)
      : options_(std::move(options)),
        handlers_(std::move(handlers)),
        commands_(options_.ring_capacity),
        wakeup_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (wakeup_ < 0)
      throw support::Error("start transport", "", "eventfd failed");
    if (!options_.listen.empty())
      Bind();
  }

  // Handlers use the Transport, so it has to be complete first.
  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  ~Impl() {
    stopping_ = true;
    Wake();
    thread_.join();
    peers_.clear();
    router_.close();
    close(wakeup_);
  }

  bool Enqueue(Command command) {
    if (!commands_.TryPush(std::move(command)))
      return false;
    Wake();
    return true;
  }

  Counters counters() const {
    return {sent_, sent_bytes_, received_, received_bytes_};
  }

 private:
  void Wake() {
    const std::uint64_t one = 1;
    // A full counter means that the thread is about to wake anyway.
    [[maybe_unused]] const auto written = write(wakeup_, &one, sizeof one);
  }

  void Bind() {
    router_ = zmq::socket_t(context_, zmq::socket_type::router);
    router_.set(zmq::sockopt::linger, 0);
    // Bounds the memory for answers to a peer that does not read.
    router_.set(zmq::sockopt::sndhwm, 4096);
    router_.set(zmq::sockopt::rcvhwm, 16384);
    router_.set(zmq::sockopt::backlog, 1024);
    BoundSilence(router_);
    if (options_.curve) {
      router_.set(zmq::sockopt::curve_server, true);
      router_.set(zmq::sockopt::curve_secretkey, options_.curve->secret_key);
      router_.set(zmq::sockopt::curve_publickey, options_.curve->public_key);
    }
    try {
      router_.bind("tcp://" + options_.listen);
    } catch (const zmq::error_t& error) {
      throw support::Error("bind", options_.listen, error.what());
    }
  }

  /// Bounds each state in which a connection can be silent by a time of our
  /// own, so that none waits for the kernel.
  static void BoundSilence(zmq::socket_t& socket) {
    socket.set(zmq::sockopt::heartbeat_ivl, ToMilliseconds(kHeartbeatInterval));
    socket.set(zmq::sockopt::heartbeat_timeout,
               ToMilliseconds(kHeartbeatTimeout));
    socket.set(zmq::sockopt::tcp_maxrt, ToMilliseconds(kHeartbeatTimeout));
    socket.set(zmq::sockopt::handshake_ivl, ToMilliseconds(kHandshakeTimeout));
    socket.set(zmq::sockopt::connect_timeout, ToMilliseconds(kConnectAttempt));
  }

  Peer& ConnectedPeer(const std::string& address) {
    const auto found = peers_.find(address);
    if (found != peers_.end())
      return found->second;
    Peer& peer = peers_[address];
    peer.socket = zmq::socket_t(context_, zmq::socket_type::dealer);
    peer.socket.set(zmq::sockopt::linger, 0);
    peer.socket.set(zmq::sockopt::sndhwm, 4096);
    // Queue only on an established connection, so that a request never waits
    // for a dead peer to come back.
    peer.socket.set(zmq::sockopt::immediate, true);
    peer.socket.set(zmq::sockopt::reconnect_ivl,
                    ToMilliseconds(kMinReconnectPause));
    peer.socket.set(zmq::sockopt::reconnect_ivl_max,
                    ToMilliseconds(kMaxReconnectPause));
    BoundSilence(peer.socket);
    if (options_.curve) {
      peer.socket.set(zmq::sockopt::curve_serverkey,
                      options_.curve->public_key);
      peer.socket.set(zmq::sockopt::curve_publickey,
                      options_.curve->public_key);
      peer.socket.set(zmq::sockopt::curve_secretkey,
                      options_.curve->secret_key);
    }
    peer.socket.connect("tcp://" + address);
    return peer;
  }

  void Run() {
    auto next_tick = SteadyClock::now() + options_.tick;
    while (!stopping_) {
      Wait(next_tick);
      DrainCommands();
      FlushWaiting();
      ReceiveAll();
      if (SteadyClock::now() < next_tick)
        continue;
      next_tick = SteadyClock::now() + options_.tick;
      if (handlers_.on_tick)
        handlers_.on_tick();
    }
    DrainCommands();
  }

  void Wait(SteadyClock::time_point until) {
    std::vector<zmq::pollitem_t> items;
    items.reserve(peers_.size() + 2);
    items.push_back({nullptr, wakeup_, ZMQ_POLLIN, 0});
    if (router_)
      items.push_back({router_.handle(), 0, ZMQ_POLLIN, 0});
    bool waiting = false;
    for (auto& [address, peer] : peers_) {
      items.push_back({peer.socket.handle(), 0, ZMQ_POLLIN, 0});
      waiting |= !peer.waiting.empty();
    }
    auto timeout = std::chrono::ceil<std::chrono::milliseconds>(
        until - SteadyClock::now());
    timeout = std::max(timeout, std::chrono::milliseconds(0));
    if (waiting)
      timeout = std::min(timeout, kRetryInterval);
    // Being stopped and continued interrupts the wait.
    if (zmq_poll(items.data(), static_cast<int>(items.size()),
                 timeout.count()) < 0 &&
        zmq_errno() != EINTR)
      throw support::Error("wait for messages", "", zmq_strerror(zmq_errno()));
    std::uint64_t count = 0;
    [[maybe_unused]] const auto bytes = read(wakeup_, &count, sizeof count);
  }

  void DrainCommands() {
    while (auto command = commands_.TryPop()) {
      std::visit(
          Overloaded{
              [this](OutboundRequest& request) { SendRequest(request); },
              [this](OutboundReply& reply) { SendReply(reply); },
              [this](CloseConnection& close) { peers_.erase(close.address); }},
          *command);
    }
  }

  void SendRequest(OutboundRequest& request) {
    Peer& peer = ConnectedPeer(request.address);
    if (peer.waiting.empty() && TrySend(peer.socket, request.envelope))
      return;
    peer.waiting.push_back({std::move(request.envelope),
                            SteadyClock::now() + options_.connect_timeout});
  }

  bool TrySend(zmq::socket_t& socket, const Envelope& envelope) {
    const std::string bytes = envelope.SerializeAsString();
    if (!socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
      return false;
    ++sent_;
    sent_bytes_ += bytes.size();
    return true;
  }

  void SendReply(OutboundReply& reply) {
    const std::string bytes = reply.envelope.SerializeAsString();
    try {
      const auto sent =
          router_.send(zmq::buffer(reply.route.identity),
                       zmq::send_flags::sndmore | zmq::send_flags::dontwait);
      if (!sent)
        return;
      (void)router_.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    } catch (const zmq::error_t& error) {
      support::LogDebug("transport.reply_dropped", {{"error", error.what()}});
      return;
    }
    ++sent_;
    sent_bytes_ += bytes.size();
  }

  void FlushWaiting() {
    const auto now = SteadyClock::now();
    for (auto& [address, peer] : peers_) {
      while (!peer.waiting.empty()) {
        WaitingRequest& front = peer.waiting.front();
        if (now < front.expires && !TrySend(peer.socket, front.envelope))
          break;
        if (now >= front.expires && handlers_.on_undelivered)
          handlers_.on_undelivered(address, std::move(front.envelope));
        peer.waiting.pop_front();
      }
    }
  }

  void ReceiveAll() {
    if (router_)
      ReceiveRequests();
    // A handler only queues commands, so peers_ does not change here.
    for (auto& [address, peer] : peers_)
      ReceiveAnswers(address, peer.socket);
  }

  void ReceiveRequests() {
    for (int i = 0; i < kMaxReceivedPerWakeup; ++i) {
      zmq::message_t identity;
      if (!router_.recv(identity, zmq::recv_flags::dontwait))
        return;
      zmq::message_t payload;
      if (!ReceiveLastPart(router_, identity.more(), payload))
        continue;
      Envelope envelope;
      if (!Parse(payload, envelope))
        continue;
      if (handlers_.on_request)
        handlers_.on_request({identity.to_string()}, std::move(envelope));
    }
  }

  void ReceiveAnswers(const std::string& address, zmq::socket_t& socket) {
    for (int i = 0; i < kMaxReceivedPerWakeup; ++i) {
      zmq::message_t payload;
      if (!socket.recv(payload, zmq::recv_flags::dontwait))
        return;
      if (payload.more()) {
        ReceiveLastPart(socket, true, payload);
        continue;
      }
      Envelope envelope;
      if (!Parse(payload, envelope))
        continue;
      if (handlers_.on_answer)
        handlers_.on_answer(address, std::move(envelope));
    }
  }

  /// Receives the single part that must still follow. Takes every part of a
  /// message that has more, so that the next message starts at its beginning.
  static bool ReceiveLastPart(zmq::socket_t& socket,
                              bool more,
                              zmq::message_t& payload) {
    int parts = 0;
    while (more && socket.recv(payload, zmq::recv_flags::dontwait)) {
      ++parts;
      more = payload.more();
    }
    if (parts == 1)
      return true;
    support::LogWarning("transport.malformed", {{"parts", parts}});
    return false;
  }

  bool Parse(const zmq::message_t& payload, Envelope& envelope) {
    ++received_;
    received_bytes_ += payload.size();
    if (envelope.ParseFromArray(payload.data(),
                                static_cast<int>(payload.size())))
      return true;
    support::LogWarning("transport.malformed", {{"bytes", payload.size()}});
    return false;
  }

  const Options options_;
  const Handlers handlers_;
  support::BoundedRing<Command> commands_;
  const int wakeup_;
  zmq::context_t context_;
  zmq::socket_t router_;
  // Owned by the transport thread.
  std::unordered_map<std::string, Peer> peers_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::uint64_t> sent_ = 0;
  std::atomic<std::uint64_t> sent_bytes_ = 0;
  std::atomic<std::uint64_t> received_ = 0;
  std::atomic<std::uint64_t> received_bytes_ = 0;
  std::thread thread_;
};

Transport::Transport(Options options, Handlers handlers)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(handlers))) {
  impl_->Start();
}

Transport::~Transport() = default;

bool Transport::Send(const std::string& address, Envelope envelope) {
  return impl_->Enqueue(OutboundRequest{address, std::move(envelope)});
}

bool Transport::Reply(const ReplyRoute& route, Envelope envelope) {
  return impl_->Enqueue(OutboundReply{route, std::move(envelope)});
}

bool Transport::Disconnect(const std::string& address) {
  return impl_->Enqueue(CloseConnection{address});
}

Transport::Counters Transport::counters() const {
  return impl_->counters();
}

}  // namespace yuccastair::wire
