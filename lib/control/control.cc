// Assembles the control process.

#include "yuccastair/control/control.h"

#include <thread>
#include <utility>
#include <variant>

#include "log_runner.h"
#include "yuccastair/membership/registry.h"
#include "yuccastair/support/bounded_ring.h"
#include "yuccastair/support/log.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::control {
namespace {

constexpr std::size_t kEventRingCapacity = 16384;
constexpr std::chrono::milliseconds kCoreTick{10};
// Bounds the messages that share one sync of the log.
constexpr int kMaxBatch = 256;

struct PeerRequest {
  wire::ReplyRoute route;
  wire::Envelope envelope;
};

}  // namespace

class Control::Impl {
 public:
  explicit Impl(Settings settings)
      : settings_(std::move(settings)),
        registry_(clock_, settings_.member_expiry),
        log_(settings_,
             clock_,
             [this](const std::string& address, wire::Envelope envelope) {
               transport_.Send(address, std::move(envelope));
             }),
        events_(kEventRingCapacity),
        transport_(TransportOptions(), TransportHandlers()) {
    core_ = std::thread([this] { RunOrExit([this] { Run(); }); });
    support::LogInfo("control.started",
                     {{"peer_listen", settings_.peer_listen.ToString()}});
  }

  ~Impl() {
    events_.Close();
    core_.join();
  }

 private:
  wire::Transport::Options TransportOptions() const {
    std::optional<wire::CurveKeyPair> curve;
    if (!settings_.curve_public_key.empty())
      curve = {settings_.curve_public_key, settings_.curve_secret_key};
    return {.listen = settings_.peer_listen.ToString(), .curve = curve};
  }

  wire::Transport::Handlers TransportHandlers() {
    return {.on_request =
                [this](const wire::ReplyRoute& route, wire::Envelope envelope) {
                  events_.TryPush({route, std::move(envelope)});
                },
            .on_answer = nullptr,
            .on_undelivered = nullptr,
            .on_tick = nullptr};
  }

  // The core thread owns all state.
  void Run() {
    log_.Start();
    while (!events_.closed()) {
      auto event = events_.Pop(kCoreTick);
      for (int i = 0; event && i < kMaxBatch; ++i) {
        Handle(*event);
        event = events_.TryPop();
      }
      if (event)
        Handle(*event);
      log_.Flush();
      registry_.RemoveExpired();
    }
  }

  void Handle(const PeerRequest& request) {
    const auto answer_log = [this,
                             route = request.route](wire::Envelope envelope) {
      transport_.Reply(route, std::move(envelope));
    };
    if (log_.Handle(request.envelope, answer_log) ||
        !request.envelope.has_sync_request())
      return;
    const wire::SyncRequest& sync = request.envelope.sync_request();
    registry_.Report(sync.self());
    wire::Envelope answer;
    answer.set_correlation(request.envelope.correlation());
    wire::SyncReply* reply = answer.mutable_sync_reply();
    for (const wire::FollowedService& followed : sync.followed())
      registry_.FillReply(followed.service(), followed.revision(), *reply);
    log_.FillReply(*reply);
    transport_.Reply(request.route, std::move(answer));
  }

  const Settings settings_;
  const support::SteadyClock clock_;
  // Owned by the core thread.
  membership::Registry registry_;
  LogRunner log_;
  support::BoundedRing<PeerRequest> events_;
  wire::Transport transport_;
  std::thread core_;
};

Control::Control(Settings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Control::~Control() = default;

}  // namespace yuccastair::control
