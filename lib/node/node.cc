// Assembles the node process from its duties.

#include "yuccastair/node/node.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "entry.h"
#include "forwarder.h"
#include "leader_channel.h"
#include "leader_hint.h"
#include "observer.h"
#include "receive_gap.h"
#include "running_calls.h"
#include "settings_options.h"
#include "settings_view.h"
#include "sync_client.h"
#include "target_side.h"
#include "yuccastair/http/server.h"
#include "yuccastair/membership/membership_view.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"
#include "yuccastair/wire/pending_calls.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDrainPoll{20};
// Long enough for every other node to have synced once after the announcement.
constexpr milliseconds kLeaveNotice{1500};
constexpr milliseconds kReplyFlush{200};

std::optional<wire::CurveKeyPair> CurveKeys(const Settings& settings) {
  if (settings.curve_public_key.empty())
    return std::nullopt;
  return wire::CurveKeyPair{settings.curve_public_key,
                            settings.curve_secret_key};
}

/// Hands the target the span of its own node as the parent of its spans.
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
        leader_(support::ToStrings(settings_.controls)),
        observer_(settings_),
        target_(settings_.target_workers, running_, {}, {}),
        forwarder_(
            fleet_,
            transport_,
            pending_,
            [this] { sync_.Wake(); },
            ForwarderOptions()),
        transport_(TransportOptions(), TransportHandlers()),
        leader_channel_(leader_, transport_, pending_),
        crashes_(leader_channel_),
        sync_(SyncOptions(), transport_, pending_),
        authoriser_(shared_settings_,
                    boot_clock_,
                    [this] { return sync_.fresh_at(); }),
        rates_(settings_.id, incarnation_, leader_channel_),
        claims_(leader_channel_),
        entry_(settings_,
               {authoriser_, rates_, claims_, crashes_, forwarder_, running_,
                target_, observer_}),
        target_server_(TargetServerOptions()),
        caller_server_(CallerServerOptions()) {
    RegisterGauges();
    support::LogInfo("node.started",
                     {{"listen", settings_.listen.ToString()},
                      {"availability_zone", settings_.availability_zone}});
  }

  // The workers of the target side answer through the transport, which is
  // destroyed before them.
  ~Impl() { target_.Stop(); }

  void Drain() {
    leaving_ = true;
    target_.ReportLeaving();
    sync_.Wake();
    const auto started = support::SteadyClock().Now();
    std::this_thread::sleep_for(
        std::min(kLeaveNotice, settings_.shutdown_timeout));
    target_.StartDraining();
    while (support::SteadyClock().Now() - started <
               settings_.shutdown_timeout &&
           (target_.running() > 0 || caller_server_.in_flight() > 0))
      std::this_thread::sleep_for(kDrainPoll);
    // The last replies are still on their way through the transport.
    std::this_thread::sleep_for(kReplyFlush);
    support::LogInfo("node.drained", {{"running", target_.running()}});
  }

 private:
  void RegisterGauges() {
    observe::Metrics& metrics = observer_.metrics();
    metrics.RegisterGauge("yuccastair_target_limit",
                          [this] { return target_.Load().limit(); });
    metrics.RegisterGauge("yuccastair_target_running",
                          [this] { return target_.Load().running(); });
    metrics.RegisterGauge("yuccastair_target_queued",
                          [this] { return target_.Load().queued(); });
    metrics.RegisterGauge("yuccastair_target_state",
                          [this] { return target_.Load().state(); });
    metrics.RegisterGauge("yuccastair_peer_sent_bytes", [this] {
      return static_cast<double>(transport_.counters().bytes_sent);
    });
    metrics.RegisterGauge("yuccastair_peer_received_bytes", [this] {
      return static_cast<double>(transport_.counters().bytes_received);
    });
    metrics.RegisterGauge("yuccastair_settings_version", [this] {
      return static_cast<double>(shared_settings_.Current()->version());
    });
    metrics.RegisterGauge("yuccastair_state_age_seconds", [this] {
      return std::chrono::duration<double>(boot_clock_.Now() - sync_.fresh_at())
          .count();
    });
  }

  wire::Transport::Options TransportOptions() const {
    return {.listen = settings_.peer_listen.ToString(),
            .curve = CurveKeys(settings_)};
  }

  wire::Transport::Handlers TransportHandlers() {
    return {.on_request =
                [this](const wire::ReplyRoute& route, wire::Envelope envelope) {
                  HandleRequest(route, std::move(envelope));
                },
            .on_answer =
                [this](const std::string& address, wire::Envelope envelope) {
                  forwarder_.OnAnswer(address);
                  const std::uint64_t correlation = envelope.correlation();
                  pending_.Complete(correlation, std::move(envelope));
                },
            .on_undelivered =
                [this](const std::string&, const wire::Envelope& envelope) {
                  pending_.CompleteUndelivered(envelope.correlation());
                },
            .on_tick =
                [this] {
                  receive_gap_.OnPass(support::SteadyClock().Now());
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
      wire::Envelope answer;
      answer.set_correlation(correlation);
      answer.mutable_pong();
      transport_.Reply(route, std::move(answer));
      return;
    }
    if (envelope.has_call_request())
      HandleCall(route, correlation,
                 std::move(*envelope.mutable_call_request()));
    else if (envelope.has_call_cancel())
      target_.Cancel(envelope.call_cancel().attempt_id(),
                     [this, route, correlation](wire::CallReply reply) {
                       SendReply(route, correlation, std::move(reply));
                     });
  }

  void SendReply(const wire::ReplyRoute& route,
                 std::uint64_t correlation,
                 wire::CallReply reply) {
    wire::Envelope answer;
    answer.set_correlation(correlation);
    *answer.mutable_call_reply() = std::move(reply);
    transport_.Reply(route, std::move(answer));
  }

  void HandleCall(const wire::ReplyRoute& route,
                  std::uint64_t correlation,
                  wire::CallRequest call) {
    const Hop hop = observer_.StartCall("target", call);
    call.set_parent_span_id(hop.context.span_id);
    ReplaceTraceparent(hop.context, call);
    // Kept for the span; the body is not needed there.
    wire::CallRequest described = call;
    described.clear_body();
    described.clear_headers();
    target_.Submit(
        std::move(call),
        [this, route, correlation, hop, described](wire::CallReply reply) {
          observer_.Finish(hop, described.request_id(), &described, reply);
          SendReply(route, correlation, std::move(reply));
        },
        receive_gap_.MaxWait(clock_.Now()));
  }

  SyncClient::Options SyncOptions() {
    return {.controls = support::ToStrings(settings_.controls),
            .node_id = settings_.id,
            .interval = settings_.sync_interval,
            .fill = [this](wire::SyncRequest& request) { FillSync(request); },
            .apply =
                [this](const wire::SyncReply& reply) {
                  fleet_.Apply(reply);
                  leader_.Set(reply.leader_address());
                  crashes_.Apply(reply.fingerprints());
                  const bool complete = shared_settings_.Apply(reply);
                  FollowSettings();
                  return complete;
                }};
  }

  /// Hands changed settings to admission and routing. Also called when only the
  /// own target may have announced another service.
  void FollowSettings() {
    const auto settings = shared_settings_.Current();
    const auto announcement = target_.announcement();
    const std::string service = announcement ? announcement->service : "";
    if (settings->version() == followed_version_ &&
        service == followed_service_)
      return;
    followed_version_ = settings->version();
    followed_service_ = service;
    target_.SetOptions(AdmissionOptions(settings->OfService(service)));
    target_.SetZoneOut(!settings->IsZoneInService(settings_.availability_zone));
    forwarder_.SetZonesOut(settings->zones_out());
    forwarder_.SetOptions([settings](const std::string& name) {
      return RoutingOptions(settings->OfService(name));
    });
  }

  void FillSync(wire::SyncRequest& request) {
    wire::Member* self = request.mutable_self();
    self->set_node_id(settings_.id);
    self->set_incarnation(incarnation_);
    self->set_started_ms(started_ms_);
    self->set_sequence(++reports_);
    self->set_availability_zone(settings_.availability_zone);
    self->set_address(settings_.peer_listen.ToString());
    self->set_state(wire::TARGET_STATE_DOWN);
    if (const auto announcement = target_.announcement()) {
      self->set_service(announcement->service);
      self->set_state(announcement->state);
      const wire::LoadReport load = target_.Load();
      self->set_limit(load.limit());
      // A target may have turned cold without announcing it.
      if (load.state() == wire::TARGET_STATE_COLD)
        self->set_state(load.state());
    }
    if (leaving_)
      self->set_state(wire::TARGET_STATE_LEAVING);
    request.set_settings_version(shared_settings_.VersionToReport());
    request.set_fingerprint_version(crashes_.version());
    fleet_.FillRequest(request);
  }

  http::Server::Options CallerServerOptions() {
    return ServerOptions(settings_.listen,
                         [this](const http::Request& request) {
                           return entry_.HandleCaller(request);
                         });
  }

  http::Server::Options TargetServerOptions() {
    return ServerOptions(settings_.target_listen,
                         [this](const http::Request& request) {
                           return entry_.HandleTarget(request);
                         });
  }

  http::Server::Options ServerOptions(const support::Address& listen,
                                      http::Server::Handler handler) {
    http::Server::Options options;
    options.listen = listen;
    options.max_in_flight = settings_.max_in_flight;
    options.max_body_bytes = settings_.max_body_bytes;
    options.on_request = std::move(handler);
    options.on_refused = [this](const http::Request& request, int status) {
      return entry_.Refuse(request, status);
    };
    return options;
  }

  // Members are destroyed in reverse order: the servers first, so that no
  // request comes in while the rest is taken down.
  const Settings settings_;
  const support::SteadyClock clock_{};
  const support::BootClock boot_clock_{};
  const std::string incarnation_;
  const std::uint64_t started_ms_;
  // Used by the sync thread alone.
  std::uint64_t reports_ = 0;
  std::uint64_t followed_version_ = 0;
  std::string followed_service_;
  SettingsView shared_settings_;
  std::atomic<bool> leaving_ = false;
  LeaderHint leader_;
  Observer observer_;
  wire::PendingCalls pending_;
  RunningCalls running_;
  // Used by the transport thread only.
  ReceiveGap receive_gap_;
  membership::MembershipView fleet_;
  TargetSide target_;
  // Called by the transport thread, so it outlives the transport.
  Forwarder forwarder_;
  wire::Transport transport_;
  LeaderChannel leader_channel_;
  CrashGuard crashes_;
  SyncClient sync_;
  Authoriser authoriser_;
  RateGate rates_;
  ClaimGate claims_;
  Entry entry_;
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
