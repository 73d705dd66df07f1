// Assembles the control process from its services and runs its core thread.

#include "yuccastair/control/control.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "claim_service.h"
#include "crash_service.h"
#include "departure_service.h"
#include "log_runner.h"
#include "operator_api.h"
#include "policy_request_service.h"
#include "rate_service.h"
#include "route_need_service.h"
#include "settings_sync.h"
#include "sync_service.h"
#include "yuccastair/claims/claim_table.h"
#include "yuccastair/claims/fingerprint_table.h"
#include "yuccastair/http/server.h"
#include "yuccastair/membership/departure_table.h"
#include "yuccastair/membership/registry.h"
#include "yuccastair/membership/target_availability_monitor.h"
#include "yuccastair/membership/zone_orders.h"
#include "yuccastair/observe/event_log.h"
#include "yuccastair/observe/metrics.h"
#include "yuccastair/policy/policy_table.h"
#include "yuccastair/rates/ledger_record.h"
#include "yuccastair/state/settings_machine.h"
#include "yuccastair/support/bounded_ring.h"
#include "yuccastair/support/log.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::control {
namespace {

constexpr std::size_t kEventRingCapacity = 16384;
constexpr std::chrono::milliseconds kCoreTickInterval{10};
// Interval between updates of the control processes to pull membership from.
constexpr std::chrono::milliseconds kPeerUpdateInterval{100};
// Interval between checks for services without an advertised target.
constexpr std::chrono::milliseconds kServiceCheckInterval{100};
// Maximum number of events that share one sync of the log to the disk.
constexpr int kMaxEventsPerBatch = 256;
constexpr std::size_t kMaxOperatorRequests = 16;
constexpr std::size_t kMaxOperatorBodyBytes = std::size_t{4} << 20;

struct PeerRequest {
  wire::ReplyRoute route;
  wire::Envelope envelope;
};

struct PeerReply {
  std::string address;
  wire::Envelope envelope;
};

/// A policy request that was forwarded without a connection to the leader.
struct UndeliveredPolicyRequest {
  std::string address;
  std::uint64_t correlation = 0;
};

/// The events that the core thread processes.
using CoreEvent = std::variant<PeerRequest,
                               PeerReply,
                               UndeliveredPolicyRequest,
                               std::function<void()>>;

}  // namespace

class Control::Impl {
 public:
  explicit Impl(Settings settings)
      : settings_(std::move(settings)),
        registry_(clock_, settings_.member_expiry),
        target_monitor_(clock_, registry_),
        log_(settings_,
             clock_,
             [this](const std::string& address, wire::Envelope envelope) {
               transport_.Send(address, std::move(envelope));
             }),
        settings_sync_(settings_table_, log_, clock_, event_log_),
        rate_service_(log_, clock_, MakeLimitLookup()),
        claim_service_(log_, claim_table_, clock_),
        crash_service_(log_, fingerprint_table_, clock_),
        route_need_service_(log_, route_needs_table_),
        departure_service_(log_, departure_table_),
        policy_request_service_(log_,
                                policy_table_,
                                clock_,
                                MakeForwardCallback()),
        sync_service_(MakeSyncOptions(), registry_, clock_),
        events_(kEventRingCapacity),
        operator_api_(MakeOperatorApiOptions(),
                      {log_, settings_table_, settings_sync_},
                      [this](std::function<void()> task) {
                        return events_.TryPush(std::move(task));
                      }),
        transport_(MakeTransportOptions(), MakeTransportHandlers()) {
    log_.Register(wire::TABLE_SETTINGS, settings_table_);
    log_.Register(wire::TABLE_RATES, ledger_record_);
    log_.Register(wire::TABLE_CLAIMS, claim_table_);
    log_.Register(wire::TABLE_FINGERPRINTS, fingerprint_table_);
    log_.Register(wire::TABLE_POLICY, policy_table_);
    log_.Register(wire::TABLE_ROUTE_NEEDS, route_needs_table_);
    log_.Register(wire::TABLE_DEPARTURES, departure_table_);
    metrics_.RegisterGauge("yuccastair_services_without_target", [this] {
      return static_cast<double>(services_without_target_.load());
    });
    metrics_.RegisterGauge("yuccastair_services_at_last_target", [this] {
      return static_cast<double>(services_at_last_target_.load());
    });
    core_ = std::thread([this] { RunOrExit([this] { Run(); }); });
    operator_server_.emplace(MakeOperatorServerOptions());
    support::LogInfo("control.started",
                     {{"peer_listen", settings_.peer_listen.ToString()}});
  }

  // Operators' requests wait for the core thread, so their server stops first.
  ~Impl() {
    operator_server_.reset();
    events_.Close();
    core_.join();
  }

  void SetSeeds(const std::vector<support::Address>& seeds) {
    std::function<void()> task = [this, seeds] {
      for (const support::Address& seed : seeds)
        log_.AddPeerAddress(seed.ToString());
    };
    if (!events_.TryPush(std::move(task)))
      support::LogWarning("control.seeds_ignored",
                          {{"reason", "event queue is full"}});
  }

  void ExecutePolicyRequest(wire::PolicyRequest request,
                            const PolicyRequestService::ReplyCallback& done) {
    std::function<void()> task = [this, request = std::move(request), done] {
      policy_request_service_.Execute(request, done);
    };
    if (!events_.TryPush(std::move(task)))
      done({});
  }

 private:
  PolicyRequestService::ForwardCallback MakeForwardCallback() {
    return [this](const std::string& address, std::uint64_t correlation,
                  const wire::PolicyRequest& request) {
      wire::Envelope envelope;
      envelope.set_correlation(correlation);
      *envelope.mutable_policy_request() = request;
      transport_.Send(address, std::move(envelope));
    };
  }

  wire::Transport::Options MakeTransportOptions() const {
    std::optional<wire::CurveKeyPair> curve;
    if (!settings_.curve_public_key.empty())
      curve = {settings_.curve_public_key, settings_.curve_secret_key};
    return {.listen = settings_.peer_listen.ToString(), .curve = curve};
  }

  wire::Transport::Handlers MakeTransportHandlers() {
    return {
        .on_request =
            [this](const wire::ReplyRoute& route, wire::Envelope envelope) {
              events_.TryPush(PeerRequest{route, std::move(envelope)});
            },
        .on_answer =
            [this](const std::string& address, wire::Envelope envelope) {
              events_.TryPush(PeerReply{address, std::move(envelope)});
            },
        .on_undelivered =
            [this](const std::string& address, const wire::Envelope& envelope) {
              if (envelope.has_policy_request())
                events_.TryPush(
                    UndeliveredPolicyRequest{address, envelope.correlation()});
            },
        .on_tick = nullptr};
  }

  SyncService::Options MakeSyncOptions() {
    SyncService::Options options;
    options.availability_zone = settings_.availability_zone;
    for (const support::Address& peer : settings_.peers) {
      if (peer != settings_.peer_listen)
        options.peers.push_back(peer.ToString());
    }
    options.send_pull = [this](const std::string& peer,
                               std::uint64_t correlation,
                               const wire::MembershipPull& pull) {
      wire::Envelope envelope;
      envelope.set_correlation(correlation);
      *envelope.mutable_membership_pull() = pull;
      transport_.Send(peer, std::move(envelope));
    };
    options.fill_reply = [this](const wire::SyncRequest& sync,
                                wire::SyncReply& reply) {
      settings_sync_.FillReply(sync, reply);
      fingerprint_table_.FillUpdate(sync.fingerprint_version(),
                                    *reply.mutable_fingerprints());
      policy_request_service_.FillReply(sync, reply);
      route_need_service_.FillReply(sync, reply);
      departure_service_.FillReply(sync, reply);
      for (const std::string& address : log_.ControlAddresses()) {
        reply.add_control_addresses(address);
        reply.add_control_zones(address == settings_.peer_listen.ToString()
                                    ? settings_.availability_zone
                                    : sync_service_.ZoneOf(address));
      }
    };
    return options;
  }

  OperatorApi::Options MakeOperatorApiOptions() {
    OperatorApi::Options options;
    options.id = settings_.id;
    options.wall_clock_ms = support::WallClockMs;
    for (std::size_t i = 0;
         i < settings_.operator_peers.size() && i < settings_.peers.size(); ++i)
      options.operator_addresses[settings_.peers[i].ToString()] =
          settings_.operator_peers[i].ToString();
    options.list_suspects = [this] { return crash_service_.ListSuspects(); };
    options.clear_suspect = [this](const std::string& fingerprint,
                                   const auto& done) {
      crash_service_.Clear(fingerprint, done);
    };
    options.event_log = &event_log_;
    options.metrics = &metrics_;
    options.add_status = [this](nlohmann::json& status) {
      status["nodes"] = registry_.size();
      status["without_target"] = target_monitor_.services_without_target();
      status["at_last_target"] = target_monitor_.services_at_last_target();
    };
    return options;
  }

  http::Server::Options MakeOperatorServerOptions() {
    http::Server::Options options;
    options.listen = settings_.operator_listen;
    options.max_in_flight = kMaxOperatorRequests;
    options.max_body_bytes = kMaxOperatorBodyBytes;
    options.on_request = [this](const http::Request& request) {
      return operator_api_.Handle(request);
    };
    options.on_refused = [](const http::Request&, int status) {
      return OperatorApi::MakeRejection(status);
    };
    return options;
  }

  /// Runs the core thread, which owns all state.
  void Run() {
    log_.Start();
    while (!events_.closed()) {
      auto event = events_.Pop(kCoreTickInterval);
      for (int i = 0; event; ++i) {
        std::visit([this](auto& item) { Handle(item); }, *event);
        event = i < kMaxEventsPerBatch ? events_.TryPop() : std::nullopt;
      }
      UpdateZonesOut();
      sync_service_.Tick();
      rate_service_.Tick();
      claim_service_.Tick();
      crash_service_.Tick();
      policy_request_service_.Tick();
      UpdatePeers();
      CheckServices();
      log_.Flush();
    }
  }

  static void Handle(const std::function<void()>& task) { task(); }

  rates::LimitLookup MakeLimitLookup() const {
    return [this](const std::string& organisation)
               -> std::optional<rates::RateLimit> {
      if (const auto* member = policy_table_.FindOrganisation(organisation);
          member != nullptr && member->rate() > 0)
        return rates::RateLimit{member->rate(), member->burst()};
      const wire::SettingsEntry* entry =
          settings_table_.tree().Find("organisation/" + organisation);
      if (entry == nullptr)
        return std::nullopt;
      return rates::RateLimit{entry->organisation().rate(),
                              entry->organisation().burst()};
    };
  }

  /// Returns a callback that sends the reply to \p request after the commit;
  /// \p part is the envelope's accessor for the reply.
  template <typename Message>
  std::function<void(const Message&)> MakeReplyCallback(
      const PeerRequest& request,
      Message* (wire::Envelope::*part)()) {
    return
        [this, route = request.route, part,
         correlation = request.envelope.correlation()](const Message& message) {
          wire::Envelope reply;
          reply.set_correlation(correlation);
          *(reply.*part)() = message;
          transport_.Reply(route, std::move(reply));
        };
  }

  void Handle(const PeerRequest& request) {
    const auto send_reply = [this,
                             route = request.route](wire::Envelope envelope) {
      transport_.Reply(route, std::move(envelope));
    };
    if (log_.Handle(request.envelope, send_reply))
      return;
    wire::Envelope reply;
    reply.set_correlation(request.envelope.correlation());
    if (request.envelope.has_rate_request()) {
      *reply.mutable_rate_grant() =
          rate_service_.Handle(request.envelope.rate_request());
      transport_.Reply(request.route, std::move(reply));
      return;
    }
    if (request.envelope.has_claim_request()) {
      claim_service_.Handle(
          request.envelope.claim_request(),
          MakeReplyCallback(request, &wire::Envelope::mutable_claim_reply));
      return;
    }
    if (request.envelope.has_crash_report()) {
      crash_service_.Handle(
          request.envelope.crash_report(),
          MakeReplyCallback(request,
                            &wire::Envelope::mutable_crash_report_reply));
      return;
    }
    if (request.envelope.has_route_need_report()) {
      route_need_service_.Handle(request.envelope.route_need_report());
      return;
    }
    if (request.envelope.has_departure_report()) {
      departure_service_.Handle(
          request.envelope.departure_report(),
          MakeReplyCallback(request, &wire::Envelope::mutable_departure_reply));
      return;
    }
    if (request.envelope.has_policy_request()) {
      policy_request_service_.ExecuteAsLeader(
          request.envelope.policy_request(),
          MakeReplyCallback(request, &wire::Envelope::mutable_policy_reply));
      return;
    }
    if (request.envelope.has_membership_pull()) {
      *reply.mutable_membership_delta() =
          sync_service_.HandlePull(request.envelope.membership_pull());
      transport_.Reply(request.route, std::move(reply));
      return;
    }
    if (!request.envelope.has_sync_request())
      return;
    *reply.mutable_sync_reply() =
        sync_service_.HandleSync(request.envelope.sync_request());
    transport_.Reply(request.route, std::move(reply));
  }

  void Handle(const PeerReply& reply) {
    if (reply.envelope.has_membership_delta())
      sync_service_.HandleDelta(reply.address, reply.envelope.correlation(),
                                reply.envelope.membership_delta());
    else if (reply.envelope.has_policy_reply())
      policy_request_service_.OnReply(reply.envelope.correlation(),
                                      reply.envelope.policy_reply());
  }

  void Handle(const UndeliveredPolicyRequest& undelivered) {
    policy_request_service_.OnUndelivered(undelivered.correlation,
                                          undelivered.address);
  }

  /// Updates the control processes to pull membership from if they are not
  /// known in advance.
  void UpdatePeers() {
    const support::TimePoint now = clock_.Now();
    if (settings_.seeds.empty() ||
        now < peers_updated_at_ + kPeerUpdateInterval)
      return;
    peers_updated_at_ = now;
    std::vector<std::string> peers = log_.ControlAddresses();
    std::erase(peers, settings_.peer_listen.ToString());
    if (peers == peer_addresses_)
      return;
    support::LogInfo("control.members_changed", {{"others", peers}});
    sync_service_.SetPeers(peers);
    peer_addresses_ = std::move(peers);
  }

  /// Applies the zones that operators have taken out of service. Those of the
  /// settings tree do not retire.
  void UpdateZonesOut() {
    if (settings_table_.version() != settings_zones_version_) {
      settings_zones_version_ = settings_table_.version();
      settings_zones_out_.clear();
      const auto& entries = settings_table_.tree().entries();
      for (auto it = entries.lower_bound("zone/"); it != entries.end(); ++it) {
        if (!it->second.has_zone_out())
          break;
        settings_zones_out_.insert(it->second.zone_out().name());
      }
    }
    policy_request_service_.UpdateZones();
    const membership::ZoneOrders& orders = policy_request_service_.zones();
    std::set<std::string> out = orders.ZonesIn(membership::ZoneUse::kOut);
    out.insert(settings_zones_out_.begin(), settings_zones_out_.end());
    registry_.SetZonesOut(out, orders.ZonesIn(membership::ZoneUse::kRetiring));
  }

  /// Records the services that have lost their last target, with the reason for
  /// each target, and those that have one again.
  void CheckServices() {
    const support::TimePoint now = clock_.Now();
    if (now < services_checked_at_ + kServiceCheckInterval)
      return;
    services_checked_at_ = now;
    std::set<std::string> services;
    for (const auto& service : policy_table_.state().policy().services())
      services.insert(service.name());
    const auto view_age = settings_sync_.StateAge();
    for (const auto& warning :
         target_monitor_.CheckLastTargets(services, view_age))
      RecordLastTarget(warning);
    for (const auto& change : target_monitor_.Check(services, view_age))
      RecordServiceChange(change);
    services_without_target_ = target_monitor_.services_without_target();
    services_at_last_target_ = target_monitor_.services_at_last_target();
  }

  static nlohmann::json ToJson(
      const std::vector<membership::Registry::ExcludedTarget>& targets) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& target : targets)
      list.push_back({{"target", target.node_id},
                      {"zone", target.availability_zone},
                      {"zone_out", target.zone_out},
                      {"state", wire::TargetState_Name(target.state)}});
    return list;
  }

  void RecordLastTarget(
      const membership::TargetAvailabilityMonitor::Warning& warning) {
    metrics_.Count("yuccastair_service_at_last_target_total",
                   {{"service", warning.service}});
    event_log_.Record("service.last_target",
                      "one more target that leaves, or whose zone is taken "
                      "out, ends the service",
                      {{"service", warning.service},
                       {"remaining", warning.remaining_target},
                       {"zones_out", registry_.ZonesTakenOut()},
                       {"targets", ToJson(warning.excluded_targets)}});
  }

  void RecordServiceChange(
      const membership::TargetAvailabilityMonitor::Change& change) {
    if (change.has_target) {
      event_log_.Record(
          "service.has_target", "the service has a target in service again",
          {{"service", change.service},
           {"after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            change.outage_duration)
                            .count()}});
      return;
    }
    metrics_.Count("yuccastair_service_lost_last_target_total",
                   {{"service", change.service}});
    event_log_.Record(
        "service.without_target",
        "no target of the service is up outside the zones out of service; "
        "every request that needs it is refused",
        {{"service", change.service},
         {"zones_out", registry_.ZonesTakenOut()},
         {"targets", ToJson(change.excluded_targets)}});
  }

  const Settings settings_;
  // Leases of the leader and of rates must expire while the instance is
  // suspended.
  const support::BootClock clock_{};
  observe::EventLog event_log_;
  observe::Metrics metrics_;
  // Read by the threads that serve metrics.
  std::atomic<std::size_t> services_without_target_ = 0;
  std::atomic<std::size_t> services_at_last_target_ = 0;
  // Owned by the core thread.
  membership::Registry registry_;
  membership::TargetAvailabilityMonitor target_monitor_;
  state::SettingsMachine settings_table_;
  rates::LedgerRecord ledger_record_;
  claims::ClaimTable claim_table_;
  claims::FingerprintTable fingerprint_table_;
  claims::RouteNeedsTable route_needs_table_;
  membership::DepartureTable departure_table_;
  policy::PolicyTable policy_table_;
  LogRunner log_;
  SettingsSync settings_sync_;
  RateService rate_service_;
  ClaimService claim_service_;
  CrashService crash_service_;
  RouteNeedService route_need_service_;
  DepartureService departure_service_;
  PolicyRequestService policy_request_service_;
  SyncService sync_service_;
  std::vector<std::string> peer_addresses_;
  support::TimePoint peers_updated_at_;
  std::uint64_t settings_zones_version_ = 0;
  std::set<std::string> settings_zones_out_;
  support::TimePoint services_checked_at_;
  support::BoundedRing<CoreEvent> events_;
  OperatorApi operator_api_;
  wire::Transport transport_;
  std::thread core_;
  std::optional<http::Server> operator_server_;
};

Control::Control(Settings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Control::~Control() = default;

void Control::SetSeeds(const std::vector<support::Address>& seeds) {
  impl_->SetSeeds(seeds);
}

void Control::ExecutePolicyRequest(
    wire::PolicyRequest request,
    const std::function<void(const wire::PolicyReply&)>& done) {
  impl_->ExecutePolicyRequest(std::move(request), done);
}

}  // namespace yuccastair::control
