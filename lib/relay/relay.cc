// Assembles and runs the components of the relay.

#include "yuccastair/relay/relay.h"

#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "call_exchange.h"
#include "control_link.h"
#include "departure_recorder.h"
#include "fleet_state.h"
#include "peer_client.h"
#include "peer_protocol.h"
#include "rate_limiter.h"
#include "request_gate.h"
#include "request_handler.h"
#include "target_proxy.h"
#include "yuccastair/observe/metrics.h"
#include "yuccastair/stream/server.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

namespace asio = stream::asio;
namespace http = stream::http;
using std::chrono::milliseconds;
using stream::Task;

// Interval of decisions on queued calls and of due messages.
constexpr milliseconds kTickInterval{10};
// A tick that is later than this is reported, since callers notice such a
// pause.
constexpr milliseconds kMaxTickDelay{100};
// Maximum number of needs of routes in one report.
constexpr int kMaxReportedNeeds = 64;
// Interval of less urgent work.
constexpr milliseconds kSlowTickInterval{1000};
// Time within which callers and other relays notice that a relay is leaving:
// two readiness checks at an interval of one second, and a sync.
constexpr milliseconds kDepartureNoticeTime{2500};
// At most this fraction of the time to stop is spent on that.
constexpr int kNoticeTimeDivisor = 2;
// Calls of the local target are taken for so much longer, whatever their
// deadline; then only if it lies before the end of the drain.
constexpr milliseconds kTargetCallTime{500};
// Requests that still wait are refused this long before the end of the drain:
// the time of an exchange with another relay and of sending the refusals.
constexpr milliseconds kRefusalTime{150};
// Time in which callers read the last answers and close their connections.
constexpr milliseconds kMaxCloseTime{200};
// Time reserved between the end of the drain and the required exit of the
// process.
constexpr milliseconds kExitMargin{700};

}  // namespace

class Relay::Impl {
 public:
  Impl(Settings settings, Adapter adapter, SettingsReloader reload)
      : settings_(std::move(settings)),
        adapter_(std::move(adapter)),
        reload_settings_(std::move(reload)),
        incarnation_(support::RandomId()),
        started_ms_(static_cast<std::uint64_t>(support::WallClockMs())),
        fleet_(clock_, boot_clock_, settings_.availability_zone),
        target_proxy_(context_,
                      clock_,
                      adapter_.headers,
                      settings_.drain_time,
                      metrics_),
        peer_client_(context_, clock_),
        rate_limiter_(context_,
                      clock_,
                      boot_clock_,
                      settings_.id,
                      incarnation_,
                      [this](const wire::RateRequest& request) {
                        control_link_.SendRateRequest(request);
                      }),
        traffic_(metrics_, settings_.availability_zone),
        departure_recorder_(context_,
                            clock_,
                            settings_.id,
                            [this](const wire::DepartureReport& report) {
                              control_link_.SendDeparture(report);
                            }),
        control_link_(context_, clock_, metrics_, traffic_, LinkOptions()),
        request_handler_(
            {clock_, adapter_.headers, fleet_, target_proxy_, peer_client_,
             rate_limiter_, gate_, metrics_, traffic_},
            settings_.id,
            settings_.service),
        caller_server_(context_,
                       settings_.caller_listen,
                       [this](stream::ServerExchange& exchange) {
                         return request_handler_.Handle(exchange);
                       }),
        peer_server_(context_,
                     settings_.peer_listen,
                     [this](stream::ServerExchange& exchange) {
                       return HandlePeerCall(exchange);
                     }),
        target_server_(context_,
                       settings_.target_listen,
                       [this](stream::ServerExchange& exchange) {
                         return HandleTargetCall(exchange);
                       }),
        ready_server_(context_,
                      settings_.ready_listen,
                      [this](stream::ServerExchange& exchange) {
                        return HandleReady(exchange);
                      }),
        signals_(context_, SIGTERM, SIGINT, SIGHUP) {
    if (settings_.metrics_listen)
      metrics_server_.emplace(context_, *settings_.metrics_listen,
                              [this](stream::ServerExchange& exchange) {
                                return HandleMetrics(exchange);
                              });
    target_proxy_.crash_monitor().SetCrashesToBlock(settings_.crashes_to_block);
    target_proxy_.on_state_changed = [this] { control_link_.SyncNow(); };
    target_proxy_.SetTargetLookup([this](const std::string& service) {
      return fleet_.MayHaveTarget(service);
    });
    target_proxy_.call_throttle().knows_target =
        [this](const std::string& service) {
          return fleet_.KnowsTarget(service);
        };
    metrics_.RegisterGauge("yuccastair_control_view_age_seconds", [this] {
      return std::chrono::duration<double>(clock_.Now() -
                                           control_link_.current_as_of())
          .count();
    });
  }

  void Run() {
    asio::co_spawn(context_, Tick(), asio::detached);
    asio::co_spawn(context_, SlowTick(), asio::detached);
    asio::co_spawn(context_, AwaitSignals(), asio::detached);
    support::LogInfo("relay.started",
                     {{"service", settings_.service},
                      {"caller_listen", settings_.caller_listen.ToString()},
                      {"peer_listen", settings_.peer_listen.ToString()},
                      {"seeds", support::ToStrings(settings_.seeds)}});
    context_.run();
    LogStopped();
  }

 private:
  ControlLink::Options LinkOptions() {
    ControlLink::Options options;
    options.seeds = support::ToStrings(settings_.seeds);
    options.node_id = settings_.id;
    options.availability_zone = settings_.availability_zone;
    options.fill_request = [this](wire::SyncRequest& request) {
      FillRequest(request);
    };
    options.apply_reply = [this](const wire::SyncReply& reply) {
      Apply(reply);
    };
    options.apply_grant = [this](const wire::RateGrant& grant) {
      rate_limiter_.ApplyGrant(grant);
    };
    options.apply_crash_reply = [this](const wire::CrashReportReply& reply) {
      target_proxy_.crash_monitor().OnReply(reply);
    };
    options.apply_departure_reply = [this](const wire::DepartureReply& reply) {
      departure_recorder_.OnReply(reply);
    };
    options.reload_seeds = [this] { ReloadSettings(); };
    return options;
  }

  void FillRequest(wire::SyncRequest& request) {
    wire::Member* self = request.mutable_self();
    self->set_node_id(settings_.id);
    self->set_incarnation(incarnation_);
    self->set_availability_zone(settings_.availability_zone);
    self->set_address(settings_.peer_listen.ToString());
    self->set_service(TargetService());
    const wire::LoadReport load = target_proxy_.Load();
    self->set_state(stopping_ ? wire::TARGET_STATE_LEAVING : load.state());
    self->set_limit(load.limit());
    self->set_started_ms(started_ms_);
    self->set_sequence(++sequence_);
    if (const auto departing = target_proxy_.tracker().DepartingProcess()) {
      wire::TargetProcess* process = self->mutable_departing_target();
      process->set_target_id(departing->target_id);
      process->set_started_ms(departing->started_ms);
    }
    request.set_fingerprint_version(
        target_proxy_.crash_monitor().list_version());
    fleet_.FillRequest(request);
  }

  /// Applies the departure that an earlier process of this relay has
  /// acknowledged.
  void RestoreDeparture(const wire::TargetProcess& process) {
    if (process.target_id() == restored_departure_.target_id() &&
        process.started_ms() == restored_departure_.started_ms())
      return;
    restored_departure_ = process;
    support::LogInfo("target.departure_restored",
                     {{"target", process.target_id()},
                      {"started_ms", process.started_ms()}});
    Announcement departure;
    departure.target_id = process.target_id();
    departure.started_ms = process.started_ms();
    departure.state = AnnouncedState::kDeregistered;
    // Nobody knows how long ago that was.
    target_proxy_.OnAnnouncement(departure, settings_.drain_time);
  }

  void Apply(const wire::SyncReply& reply) {
    if (reply.has_departing_target())
      RestoreDeparture(reply.departing_target());
    target_proxy_.crash_monitor().Apply(reply.fingerprints());
    const bool changed = fleet_.Apply(reply);
    if (auto needs = fleet_.TakeRouteNeeds(reply))
      target_proxy_.call_throttle().SetKnownNeeds(*std::move(needs));
    if (!changed)
      return;
    ApplyZoneUse();
    const auto policy = fleet_.policy();
    if (!policy)
      return;
    target_proxy_.SetServicePolicy(policy->FindService(TargetService()));
    const wire::PolicyLimits& limits = policy->policy().limits();
    stream::ServerLimits server;
    if (limits.max_header_bytes() > 0)
      server.max_header_bytes = limits.max_header_bytes();
    if (limits.max_body_bytes() > 0)
      server.max_body_bytes = limits.max_body_bytes();
    if (limits.header_timeout_ms() > 0)
      server.header_timeout = milliseconds(limits.header_timeout_ms());
    if (limits.idle_timeout_ms() > 0)
      server.idle_timeout = milliseconds(limits.idle_timeout_ms());
    caller_server_.SetLimits(server);
  }

  void ApplyZoneUse() {
    target_proxy_.SetZoneUse(fleet_.UseOfZone(settings_.availability_zone));
  }

  /// Handles a call of another relay for the local target.
  Task<void> HandlePeerCall(stream::ServerExchange& exchange) {
    RelayCall call;
    CallResult result;
    const bool decoded = DecodeCall(exchange.head(), clock_.Now(), call);
    const auto pass = decoded
                          ? gate_.Enter(call.route, RequestGate::Origin::kRelay,
                                        call.deadline)
                          : nullptr;
    const stream::ErrorCode error = co_await exchange.ReadBody(call.body);
    if (error) {
      exchange.Abort();
      co_return;
    }
    if (!decoded) {
      support::LogWarning("peer.call_malformed",
                          {{"target", std::string(exchange.head().target())}});
      co_await exchange.RespondText(MakeResponseHead(400),
                                    "the request is not a relay call\n");
      co_return;
    }
    if (pass)
      pass->SetCancellation(call.cancellation);
    WatchForDisconnect(exchange, call);
    const Announcement* announced =
        target_proxy_.tracker().latest_announcement();
    if (!pass) {
      metrics_.Count("yuccastair_stopping_refusals_total", {{"from", "relay"}});
      result = CallResult::NotRun(kRelayIsStopping);
      result.load = target_proxy_.Load();
    } else if (announced != nullptr && announced->service != call.service) {
      result = CallResult::NotRun("the target is of another service");
    } else {
      result = co_await target_proxy_.Run(call);
    }
    // A relay that closes its sending side still reads whether the call ran.
    const bool is_awaited = !call.cancellation.requested() ||
                            result.outcome == wire::OUTCOME_NOT_RUN;
    if (!is_awaited) {
      if (result.on_body_end)
        result.on_body_end(false);
      exchange.Abort();
      co_return;
    }
    if (stopping_ && result.load)
      result.load->set_state(wire::TARGET_STATE_LEAVING);
    result.head = EncodeResult(result);
    if (result.outcome != wire::OUTCOME_OK) {
      result.body = {};
      result.body.length = 0;
    }
    co_await DeliverResponse(exchange, result);
  }

  Task<void> HandleTargetCall(stream::ServerExchange& exchange) {
    stream::BodySource body;
    const stream::ErrorCode error = co_await exchange.ReadBody(body);
    if (error || !body.whole()) {
      exchange.Abort();
      co_return;
    }
    const auto& head = exchange.head();
    const auto method = http::to_string(head.method());
    const auto call = adapter_.decode_target_call(
        {method.data(), method.size()},
        {head.target().data(), head.target().size()}, body.begin);
    if (!call) {
      co_await exchange.RespondText(MakeResponseHead(404), "no such call\n");
      co_return;
    }
    if (call->announcement) {
      HandleAnnouncement(*call->announcement);
      const auto departure = DepartureOf(*call->announcement);
      if (departure && !co_await departure_recorder_.Record(*departure)) {
        co_await exchange.RespondText(MakeResponseHead(503),
                                      "the departure is not recorded yet\n");
        co_return;
      }
    }
    http::header<false> answer = MakeResponseHead(200);
    if (!call->content_type.empty())
      answer.set(http::field::content_type, call->content_type);
    co_await exchange.RespondText(std::move(answer), call->response_body);
  }

  /// Returns the process whose departure an acknowledgement of \p announcement
  /// would promise; nothing for another announcement, or a stale one.
  std::optional<TargetTracker::Process> DepartureOf(
      const Announcement& announcement) const {
    const TargetTracker::Process process{announcement.target_id,
                                         announcement.started_ms};
    if (announcement.state == AnnouncedState::kDeregistered)
      return process;
    if (announcement.state == AnnouncedState::kDraining &&
        target_proxy_.tracker().DepartingProcess() == process)
      return process;
    return std::nullopt;
  }

  void HandleAnnouncement(const Announcement& announcement) {
    // The target of this relay is the process at the configured address.
    if (announcement.state != AnnouncedState::kDeregistered &&
        announcement.address != settings_.target) {
      support::LogWarning("target.address_foreign",
                          {{"address", announcement.address.ToString()},
                           {"target", announcement.target_id}});
      return;
    }
    target_proxy_.OnAnnouncement(announcement);
    if (const auto policy = fleet_.policy();
        policy && target_proxy_.tracker().latest_announcement())
      target_proxy_.SetServicePolicy(policy->FindService(
          target_proxy_.tracker().latest_announcement()->service));
  }

  Task<void> HandleReady(stream::ServerExchange& exchange) {
    const bool ready = fleet_.policy() != nullptr && !stopping_;
    if (exchange.head().target() != adapter_.readiness_path) {
      co_await exchange.RespondText(MakeResponseHead(404), "no such path\n");
      co_return;
    }
    co_await exchange.RespondText(MakeResponseHead(ready ? 200 : 503),
                                  ready ? "ready\n" : "not ready\n");
  }

  Task<void> HandleMetrics(stream::ServerExchange& exchange) {
    http::header<false> head = MakeResponseHead(200);
    head.set(http::field::content_type, "text/plain; version=0.0.4");
    co_await exchange.RespondText(std::move(head), metrics_.ToPrometheusText());
  }

  std::size_t ActiveRequests() const {
    return caller_server_.active() + peer_server_.active();
  }

  Task<void> Tick() {
    asio::steady_timer timer(context_);
    while (true) {
      timer.expires_after(kTickInterval);
      co_await timer.async_wait(stream::kAsTuple);
      ReportLateTick(clock_.Now() - timer.expiry());
      fleet_.Tick();
      ApplyZoneUse();
      target_proxy_.Tick();
      rate_limiter_.Tick();
      departure_recorder_.Tick();
      if (const auto report = target_proxy_.crash_monitor().TakeReport())
        control_link_.SendCrashReport(*report);
    }
  }

  /// Reports that the relay gets too little processor time for its load.
  void ReportLateTick(support::Duration late) {
    if (late < kMaxTickDelay)
      return;
    metrics_.Count("yuccastair_relay_behind_total", {});
    support::LogWarning(
        "relay.behind",
        {{"ms", std::chrono::duration_cast<milliseconds>(late).count()},
         {"active", ActiveRequests()},
         {"held", target_proxy_.pending_calls()}});
  }

  Task<void> SlowTick() {
    asio::steady_timer timer(context_);
    while (true) {
      timer.expires_after(kSlowTickInterval);
      co_await timer.async_wait(stream::kAsTuple);
      peer_client_.CloseIdle();
      target_proxy_.CloseIdle();
      ReportRouteNeeds();
      LogSummary();
    }
  }

  /// Reports until the fleet's list agrees.
  void ReportRouteNeeds() {
    wire::RouteNeedReport report;
    for (const auto& [route, service] :
         target_proxy_.call_throttle().learnt_needs()) {
      if (report.needs_size() >= kMaxReportedNeeds)
        break;
      wire::RouteNeed* need = report.add_needs();
      need->set_route(route);
      need->set_service(service);
    }
    if (report.needs_size() > 0)
      control_link_.SendRouteNeeds(report);
  }

  /// Logs the target's state and the outcomes of requests, so that the lines of
  /// all relays show the state of a service second by second.
  void LogSummary() {
    support::LogInfo(
        "relay.summary",
        {{"service", TargetService()},
         {"availability_zone", settings_.availability_zone},
         {"zone_out", fleet_.UseOfZone(settings_.availability_zone) !=
                          membership::ZoneUse::kInService},
         {"target_state",
          wire::TargetState_Name(stopping_ ? wire::TARGET_STATE_LEAVING
                                           : target_proxy_.State())},
         {"rejected_by_target", RejectionsToJson()},
         {"throttled", target_proxy_.call_throttle().ThrottledShares()},
         {"traffic", traffic_.TakeJson()},
         {"routes", request_handler_.counts().TakeJson()}});
  }

  nlohmann::json RejectionsToJson() {
    const TargetProxy::Rejections rejections = target_proxy_.TakeRejections();
    return {{"with_free_slots", rejections.with_free_slots},
            {"others", rejections.others}};
  }

  const std::string& TargetService() const {
    const Announcement* announced =
        target_proxy_.tracker().latest_announcement();
    return announced != nullptr ? announced->service : settings_.service;
  }

  Task<void> AwaitSignals() {
    while (true) {
      auto [error, signal] = co_await signals_.async_wait(stream::kAsTuple);
      if (error)
        co_return;
      if (signal == SIGHUP) {
        ReloadSettings();
        continue;
      }
      if (!std::exchange(stopping_, true))
        asio::co_spawn(context_, Drain(), asio::detached);
    }
  }

  /// Logs the requests that the end of the process cuts off, and those that
  /// were refused while it stopped.
  void LogStopped() {
    nlohmann::json cut_routes = nlohmann::json::object();
    std::size_t cut = 0;
    for (const auto& [route, count] : gate_.inside()) {
      cut += count;
      cut_routes[route] = count;
    }
    using Origin = RequestGate::Origin;
    const std::size_t refused_callers =
        gate_.refused(Origin::kCaller) + gate_.refused(Origin::kTargetCall);
    const std::size_t refused_relays = gate_.refused(Origin::kRelay);
    support::LogInfo("relay.stopped", {{"active", ActiveRequests()},
                                       {"cut", cut},
                                       {"cut_routes", cut_routes},
                                       {"refused_callers", refused_callers},
                                       {"refused_relays", refused_relays}});
  }

  void ReloadSettings() {
    const auto settings = reload_settings_();
    support::LogInfo("settings.reloaded", {{"valid", settings.has_value()}});
    if (!settings)
      return;
    settings_.seeds = settings->seeds;
    settings_.service = settings->service;
    settings_.target = settings->target;
    settings_.crashes_to_block = settings->crashes_to_block;
    target_proxy_.crash_monitor().SetCrashesToBlock(settings->crashes_to_block);
    control_link_.SetSeeds(support::ToStrings(settings_.seeds));
    request_handler_.SetService(settings_.service);
  }

  /// Ends the process with the work that it has accepted. Requests are taken
  /// while others notice that the relay leaves; from then on they are refused,
  /// since the work at the end of the drain is cut off.
  Task<void> Drain() {
    support::LogInfo("relay.draining", {{"active", ActiveRequests()}});
    const milliseconds time =
        std::max(milliseconds(0), settings_.shutdown_timeout - kExitMargin);
    const support::TimePoint notice_end =
        clock_.Now() +
        std::min(kDepartureNoticeTime, time / kNoticeTimeDivisor);
    const support::TimePoint end = clock_.Now() + time;
    control_link_.SyncNow();
    caller_server_.StartDraining();
    peer_server_.StartDraining();
    co_await WaitUntil(notice_end, [] { return false; });
    gate_.Close();
    caller_server_.CloseIdle();
    const auto all_answered = [this] { return gate_.inside().empty(); };
    co_await WaitUntil(std::min(end, notice_end + kTargetCallTime),
                       all_answered);
    gate_.SetLatestDeadline(end);
    co_await WaitUntil(end - kRefusalTime, all_answered);
    gate_.EndWaits();
    co_await WaitUntil(end, all_answered);
    for (const auto& [route, count] : gate_.inside())
      metrics_.Count("yuccastair_requests_cut_total", {{"route", route}},
                     static_cast<double>(count));
    caller_server_.StopListening();
    peer_server_.StopListening();
    co_await WaitUntil(clock_.Now() + kMaxCloseTime, [this] {
      return caller_server_.connections() + peer_server_.connections() == 0;
    });
    context_.stop();
  }

  /// Waits for \p done, at most until \p end.
  template <typename Condition>
  Task<void> WaitUntil(support::TimePoint end, Condition done) {
    asio::steady_timer timer(context_);
    while (clock_.Now() < end && !done()) {
      timer.expires_after(kTickInterval);
      co_await timer.async_wait(stream::kAsTuple);
    }
  }

  Settings settings_;
  const Adapter adapter_;
  const SettingsReloader reload_settings_;
  const std::string incarnation_;
  const std::uint64_t started_ms_;
  std::uint64_t sequence_ = 0;
  // The last one that a control process has reported.
  wire::TargetProcess restored_departure_;
  bool stopping_ = false;
  const support::SteadyClock clock_{};
  const support::BootClock boot_clock_{};
  asio::io_context context_{1};
  observe::Metrics metrics_;
  FleetState fleet_;
  TargetProxy target_proxy_;
  PeerClient peer_client_;
  RateLimiter rate_limiter_;
  RequestGate gate_;
  TrafficCounts traffic_;
  DepartureRecorder departure_recorder_;
  ControlLink control_link_;
  RequestHandler request_handler_;
  stream::Server caller_server_;
  stream::Server peer_server_;
  stream::Server target_server_;
  stream::Server ready_server_;
  std::optional<stream::Server> metrics_server_;
  asio::signal_set signals_;
};

Relay::Relay(Settings settings, Adapter adapter, SettingsReloader reload)
    : impl_(std::make_unique<Impl>(std::move(settings),
                                   std::move(adapter),
                                   std::move(reload))) {}

Relay::~Relay() = default;

void Relay::Run() {
  impl_->Run();
}

}  // namespace yuccastair::relay
