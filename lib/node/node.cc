// Assembles the components of the node process.

#include "yuccastair/node/node.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "forwarder.h"
#include "leader_channel.h"
#include "leader_hint.h"
#include "receive_gap.h"
#include "request_handler.h"
#include "running_calls.h"
#include "settings_options.h"
#include "settings_view.h"
#include "sync_client.h"
#include "target_executor.h"
#include "telemetry.h"
#include "yuccastair/http/server.h"
#include "yuccastair/membership/membership_view.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"
#include "yuccastair/wire/pending_calls.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDrainPollInterval{20};
// Within this time every other node syncs once after the announcement.
constexpr milliseconds kLeaveNoticeTime{1500};
// Time in which callers read the last answers and close their connections.
constexpr milliseconds kMaxCloseTime{200};
constexpr milliseconds kReplyFlushTime{200};

std::optional<wire::CurveKeyPair> MakeCurveKeyPair(const Settings& settings) {
  if (settings.curve_public_key.empty())
    return std::nullopt;
  return wire::CurveKeyPair{settings.curve_public_key,
                            settings.curve_secret_key};
}

/// Makes the span of this node the parent of the target's spans.
void ReplaceTraceparent(const observe::TraceContext& context,
                        wire::CallRequest& call) {
  auto* headers = call.mutable_headers();
  for (auto it = headers->begin(); it != headers->end();) {
    if (http::SameName(it->name(), "traceparent"))
      it = headers->erase(it);
    else
      ++it;
  }
  wire::Header* header = call.add_headers();
  header->set_name("traceparent");
  header->set_value(observe::FormatTraceparent(context));
}

}  // namespace

class Node::Impl {
 public:
  explicit Impl(Settings settings)
      : settings_(std::move(settings)),
        incarnation_(support::RandomId()),
        started_ms_(static_cast<std::uint64_t>(support::WallClockMs())),
        leader_hint_(support::ToStrings(settings_.control_addresses)),
        telemetry_(settings_),
        target_executor_(settings_.target_workers, running_calls_, {}, {}),
        forwarder_(
            fleet_view_,
            transport_,
            pending_calls_,
            [this] { sync_client_.Wake(); },
            ForwarderOptions()),
        transport_(TransportOptions(), TransportHandlers()),
        leader_channel_(leader_hint_, transport_, pending_calls_),
        crash_guard_(leader_channel_),
        sync_client_(SyncOptions(), transport_, pending_calls_),
        authoriser_(settings_view_,
                    boot_clock_,
                    [this] { return sync_client_.current_as_of(); }),
        rate_limiter_(settings_.id, incarnation_, leader_channel_),
        claim_client_(leader_channel_),
        request_handler_(
            settings_,
            {authoriser_, rate_limiter_, claim_client_, crash_guard_,
             forwarder_, running_calls_, target_executor_, telemetry_}),
        target_server_(TargetServerOptions()),
        caller_server_(CallerServerOptions()) {
    RegisterGauges();
    support::LogInfo("node.started",
                     {{"listen", settings_.caller_listen.ToString()},
                      {"availability_zone", settings_.availability_zone}});
  }

  // The workers of `target_executor_` reply through the transport, which is
  // destroyed before them.
  ~Impl() { target_executor_.Stop(); }

  /// Ends with the work that was accepted. Requests are accepted while others
  /// notice that the node leaves; from then on they are refused, since the work
  /// at the end of the drain is cut off.
  void Drain() {
    leaving_ = true;
    target_executor_.ReportLeaving();
    caller_server_.StartDraining();
    sync_client_.Wake();
    const support::TimePoint started = clock_.Now();
    const support::TimePoint end = started + settings_.shutdown_timeout;
    WaitUntil(std::min(end, started + kLeaveNoticeTime), [] { return false; });
    caller_server_.RefuseRequests();
    target_executor_.StartDraining();
    // The target's calls are served until the requests that it runs for others
    // are answered.
    WaitUntil(end, [this] {
      return target_executor_.unreplied_calls() == 0 &&
             caller_server_.unanswered() == 0;
    });
    const std::size_t cut_callers = caller_server_.unanswered();
    const std::size_t cut_calls = target_executor_.unreplied_calls();
    caller_server_.StopListening();
    WaitUntil(clock_.Now() + kMaxCloseTime,
              [this] { return caller_server_.connections() == 0; });
    // The transport may still be sending the last replies.
    std::this_thread::sleep_for(kReplyFlushTime);
    support::LogInfo("node.drained",
                     {{"running", cut_calls}, {"unanswered", cut_callers}});
  }

 private:
  /// Waits for \p done, at most until \p end.
  template <typename Condition>
  void WaitUntil(support::TimePoint end, Condition done) const {
    while (clock_.Now() < end && !done())
      std::this_thread::sleep_for(kDrainPollInterval);
  }

  void RegisterGauges() {
    observe::Metrics& metrics = telemetry_.metrics();
    metrics.RegisterGauge("yuccastair_target_limit",
                          [this] { return target_executor_.Load().limit(); });
    metrics.RegisterGauge("yuccastair_target_running",
                          [this] { return target_executor_.Load().running(); });
    metrics.RegisterGauge("yuccastair_target_queued",
                          [this] { return target_executor_.Load().queued(); });
    metrics.RegisterGauge("yuccastair_target_state",
                          [this] { return target_executor_.Load().state(); });
    metrics.RegisterGauge("yuccastair_peer_sent_bytes", [this] {
      return static_cast<double>(transport_.counters().bytes_sent);
    });
    metrics.RegisterGauge("yuccastair_peer_received_bytes", [this] {
      return static_cast<double>(transport_.counters().bytes_received);
    });
    metrics.RegisterGauge("yuccastair_settings_version", [this] {
      return static_cast<double>(settings_view_.Current()->version());
    });
    metrics.RegisterGauge("yuccastair_state_age_seconds", [this] {
      return std::chrono::duration<double>(boot_clock_.Now() -
                                           sync_client_.current_as_of())
          .count();
    });
  }

  wire::Transport::Options TransportOptions() const {
    return {.listen = settings_.peer_listen.ToString(),
            .curve = MakeCurveKeyPair(settings_)};
  }

  wire::Transport::Handlers TransportHandlers() {
    return {.on_request =
                [this](const wire::ReplyRoute& route, wire::Envelope envelope) {
                  HandleRequest(route, std::move(envelope));
                },
            .on_answer =
                [this](const std::string& address, wire::Envelope envelope) {
                  forwarder_.OnReceive(address);
                  const std::uint64_t correlation = envelope.correlation();
                  pending_calls_.Complete(correlation, std::move(envelope));
                },
            .on_undelivered =
                [this](const std::string&, const wire::Envelope& envelope) {
                  pending_calls_.CompleteUndelivered(envelope.correlation());
                },
            .on_tick =
                [this] {
                  receive_gap_.OnLoopIteration(support::SteadyClock().Now());
                  forwarder_.OnTick();
                }};
  }

  Forwarder::Options ForwarderOptions() const {
    Forwarder::Options options;
    options.availability_zone = settings_.availability_zone;
    return options;
  }

  void HandleRequest(const wire::ReplyRoute& route, wire::Envelope envelope) {
    const std::uint64_t correlation = envelope.correlation();
    if (envelope.has_ping()) {
      wire::Envelope pong;
      pong.set_correlation(correlation);
      pong.mutable_pong();
      transport_.Reply(route, std::move(pong));
      return;
    }
    if (envelope.has_call_request())
      HandleCall(route, correlation,
                 std::move(*envelope.mutable_call_request()));
    else if (envelope.has_call_cancel())
      target_executor_.Cancel(
          envelope.call_cancel().attempt_id(),
          [this, route, correlation](wire::CallReply reply) {
            SendReply(route, correlation, std::move(reply));
          });
  }

  void SendReply(const wire::ReplyRoute& route,
                 std::uint64_t correlation,
                 wire::CallReply reply) {
    wire::Envelope envelope;
    envelope.set_correlation(correlation);
    *envelope.mutable_call_reply() = std::move(reply);
    transport_.Reply(route, std::move(envelope));
  }

  void HandleCall(const wire::ReplyRoute& route,
                  std::uint64_t correlation,
                  wire::CallRequest call) {
    const Hop hop = telemetry_.StartCallHop("target", call);
    call.set_parent_span_id(hop.context.span_id);
    ReplaceTraceparent(hop.context, call);
    // A copy for the span, which needs neither body nor headers.
    wire::CallRequest call_summary = call;
    call_summary.clear_body();
    call_summary.clear_headers();
    target_executor_.Submit(
        std::move(call),
        [this, route, correlation, hop, call_summary](wire::CallReply reply) {
          telemetry_.FinishHop(hop, call_summary.request_id(), &call_summary,
                               reply);
          SendReply(route, correlation, std::move(reply));
        },
        receive_gap_.MaxSocketDelay(clock_.Now()));
  }

  SyncClient::Options SyncOptions() {
    return {
        .control_addresses = support::ToStrings(settings_.control_addresses),
        .node_id = settings_.id,
        .interval = settings_.sync_interval,
        .fill_request =
            [this](wire::SyncRequest& request) { FillSync(request); },
        .apply_reply =
            [this](const wire::SyncReply& reply) {
              fleet_view_.Apply(reply);
              leader_hint_.SetLeader(reply.leader_address());
              crash_guard_.Apply(reply.fingerprints());
              const bool complete = settings_view_.Apply(reply);
              ApplySettings();
              return complete;
            }};
  }

  /// Applies changed settings to admission and routing. Called on each sync,
  /// because the local target may also have announced another service.
  void ApplySettings() {
    const auto settings = settings_view_.Current();
    const auto announcement = target_executor_.announcement();
    const std::string service = announcement ? announcement->service : "";
    if (settings->version() == applied_version_ && service == applied_service_)
      return;
    applied_version_ = settings->version();
    applied_service_ = service;
    target_executor_.SetOptions(
        MakeAdmissionOptions(settings->ServiceSettings(service)));
    target_executor_.SetZoneOut(
        !settings->IsZoneInService(settings_.availability_zone));
    forwarder_.SetZonesOut(settings->zones_out());
    forwarder_.SetOptions([settings](const std::string& name) {
      return MakeRoutingOptions(settings->ServiceSettings(name));
    });
  }

  void FillSync(wire::SyncRequest& request) {
    wire::Member* self = request.mutable_self();
    self->set_node_id(settings_.id);
    self->set_incarnation(incarnation_);
    self->set_started_ms(started_ms_);
    self->set_sequence(++report_sequence_);
    self->set_availability_zone(settings_.availability_zone);
    self->set_address(settings_.peer_listen.ToString());
    self->set_state(wire::TARGET_STATE_DOWN);
    if (const auto announcement = target_executor_.announcement()) {
      self->set_service(announcement->service);
      self->set_state(announcement->state);
      const wire::LoadReport load = target_executor_.Load();
      self->set_limit(load.limit());
      // Admission may have detected a cold target that did not announce it.
      if (load.state() == wire::TARGET_STATE_COLD)
        self->set_state(load.state());
    }
    if (leaving_)
      self->set_state(wire::TARGET_STATE_LEAVING);
    request.set_settings_version(settings_view_.VersionToReport());
    request.set_fingerprint_version(crash_guard_.list_version());
    fleet_view_.FillRequest(request);
  }

  http::Server::Options CallerServerOptions() {
    return HttpServerOptions(
        settings_.caller_listen, [this](const http::Request& request) {
          return request_handler_.HandleCallerRequest(request);
        });
  }

  http::Server::Options TargetServerOptions() {
    return HttpServerOptions(
        settings_.target_listen, [this](const http::Request& request) {
          return request_handler_.HandleTargetRequest(request);
        });
  }

  http::Server::Options HttpServerOptions(const support::Address& listen,
                                          http::Server::Handler handler) {
    http::Server::Options options;
    options.listen = listen;
    options.max_in_flight = settings_.max_in_flight;
    options.max_body_bytes = settings_.max_body_bytes;
    options.on_request = std::move(handler);
    options.on_refused = [this](const http::Request& request, int status) {
      return request_handler_.MakeRejectionResponse(request, status);
    };
    return options;
  }

  // Members are destroyed in reverse order: the servers first, so that no
  // request arrives while the others are destroyed.
  const Settings settings_;
  const support::SteadyClock clock_{};
  const support::BootClock boot_clock_{};
  const std::string incarnation_;
  const std::uint64_t started_ms_;
  // Used by the sync thread only.
  std::uint64_t report_sequence_ = 0;
  std::uint64_t applied_version_ = 0;
  std::string applied_service_;
  SettingsView settings_view_;
  std::atomic<bool> leaving_ = false;
  LeaderHint leader_hint_;
  Telemetry telemetry_;
  wire::PendingCalls pending_calls_;
  RunningCalls running_calls_;
  // Used by the transport thread only.
  ReceiveGap receive_gap_;
  membership::MembershipView fleet_view_;
  TargetExecutor target_executor_;
  // Called by the transport thread, so it outlives the transport.
  Forwarder forwarder_;
  wire::Transport transport_;
  LeaderChannel leader_channel_;
  CrashGuard crash_guard_;
  SyncClient sync_client_;
  Authoriser authoriser_;
  RateLimiter rate_limiter_;
  ClaimClient claim_client_;
  RequestHandler request_handler_;
  http::Server target_server_;
  http::Server caller_server_;
};

Node::Node(Settings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Node::~Node() = default;

void Node::Drain() {
  impl_->Drain();
}

}  // namespace yuccastair::node
