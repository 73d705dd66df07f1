// Assembles the control process.

#include "yuccastair/control/control.h"

#include <chrono>
#include <functional>
#include <optional>
#include <thread>
#include <utility>
#include <variant>

#include "operator_api.h"
#include "settings_sync.h"
#include "yuccastair/control/single_process_log.h"
#include "yuccastair/http/server.h"
#include "yuccastair/membership/registry.h"
#include "yuccastair/observe/event_log.h"
#include "yuccastair/state/settings_machine.h"
#include "yuccastair/state/table_dispatcher.h"
#include "yuccastair/support/bounded_ring.h"
#include "yuccastair/support/log.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::control {
namespace {

constexpr std::size_t kEventRingCapacity = 16384;
constexpr std::chrono::milliseconds kCoreTick{20};
constexpr std::size_t kOperatorRequests = 16;
constexpr std::size_t kMaxChangeBytes = std::size_t{4} << 20;

struct PeerRequest {
  wire::ReplyRoute route;
  wire::Envelope envelope;
};

/// What the core thread takes from its ring.
using CoreEvent = std::variant<PeerRequest, std::function<void()>>;

std::int64_t WallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

class Control::Impl {
 public:
  explicit Impl(Settings settings)
      : settings_(std::move(settings)),
        registry_(clock_, settings_.member_expiry),
        log_(tables_, clock_, settings_.peer_listen.ToString()),
        settings_sync_(settings_table_, log_, clock_, event_log_),
        events_(kEventRingCapacity),
        operator_api_(OperatorOptions(),
                      {log_, settings_table_, settings_sync_},
                      [this](std::function<void()> task) {
                        return events_.TryPush(std::move(task));
                      }),
        transport_(TransportOptions(), TransportHandlers()) {
    tables_.Add(wire::TABLE_SETTINGS, settings_table_);
    core_ = std::thread([this] { Run(); });
    operator_server_.emplace(OperatorServerOptions());
    support::LogInfo("control.started",
                     {{"peer_listen", settings_.peer_listen.ToString()}});
  }

  // Operators' requests wait for the core thread, so their server ends first.
  ~Impl() {
    operator_server_.reset();
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
                  events_.TryPush(PeerRequest{route, std::move(envelope)});
                },
            .on_answer = nullptr,
            .on_undelivered = nullptr,
            .on_tick = nullptr};
  }

  OperatorApi::Options OperatorOptions() {
    OperatorApi::Options options;
    options.id = settings_.id;
    options.wall_clock_ms = WallClockMs;
    for (std::size_t i = 0;
         i < settings_.operator_peers.size() && i < settings_.peers.size(); ++i)
      options.operator_addresses[settings_.peers[i].ToString()] =
          settings_.operator_peers[i].ToString();
    options.events = &event_log_;
    options.add_status = [this](nlohmann::json& status) {
      status["nodes"] = registry_.size();
    };
    return options;
  }

  http::Server::Options OperatorServerOptions() {
    http::Server::Options options;
    options.listen = settings_.operator_listen;
    options.max_in_flight = kOperatorRequests;
    options.reserve_threads = kOperatorRequests;
    options.max_body_bytes = kMaxChangeBytes;
    options.on_request = [this](const http::Request& request) {
      return operator_api_.Handle(request);
    };
    options.on_refused = [](const http::Request&, int status) {
      return OperatorApi::Refuse(status);
    };
    return options;
  }

  // The core thread owns all state.
  void Run() {
    while (!events_.closed()) {
      if (auto event = events_.Pop(kCoreTick))
        std::visit([this](auto& held) { Handle(held); }, *event);
      registry_.RemoveExpired();
    }
  }

  static void Handle(const std::function<void()>& task) { task(); }

  void Handle(const PeerRequest& request) {
    if (!request.envelope.has_sync_request())
      return;
    const wire::SyncRequest& sync = request.envelope.sync_request();
    registry_.Report(sync.self());
    wire::Envelope answer;
    answer.set_correlation(request.envelope.correlation());
    wire::SyncReply* reply = answer.mutable_sync_reply();
    settings_sync_.Fill(sync, *reply);
    for (const wire::FollowedService& followed : sync.followed())
      registry_.FillReply(followed.service(), followed.revision(), *reply);
    transport_.Reply(request.route, std::move(answer));
  }

  const Settings settings_;
  const support::SteadyClock clock_;
  observe::EventLog event_log_;
  // Owned by the core thread.
  membership::Registry registry_;
  state::SettingsMachine settings_table_;
  state::TableDispatcher tables_;
  SingleProcessLog log_;
  SettingsSync settings_sync_;
  support::BoundedRing<CoreEvent> events_;
  OperatorApi operator_api_;
  wire::Transport transport_;
  std::thread core_;
  std::optional<http::Server> operator_server_;
};

Control::Control(Settings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Control::~Control() = default;

}  // namespace yuccastair::control
