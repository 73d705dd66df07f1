// Connects the log core with the transport and the data directory.

#include "log_runner.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "yuccastair/support/error.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::control {
namespace {

constexpr int kFailureExitCode = 1;
// Bounds the size of the log entry of a probe.
constexpr std::size_t kMaxProbeBytes = 1 << 20;

consensus::CoreOptions MakeCoreOptions(const Settings& settings) {
  consensus::CoreOptions options;
  options.address = settings.peer_listen.ToString();
  for (const support::Address& peer : settings.peers)
    options.peers.push_back(peer.ToString());
  if (!settings.seeds.empty()) {
    options.open_membership = true;
    options.may_form_cluster = settings.form_cluster;
    for (const support::Address& seed : settings.seeds)
      options.peers.push_back(seed.ToString());
    return options;
  }
  const auto& peers = options.peers;
  if (!peers.empty() &&
      std::find(peers.begin(), peers.end(), options.address) == peers.end())
    throw support::Error(
        "read settings", "",
        "control.peers must contain control.peer_listen, " + options.address);
  return options;
}

}  // namespace

LogRunner::LogRunner(const Settings& settings,
                     const support::Clock& clock,
                     SendCallback send)
    : settings_(settings),
      clock_(clock),
      send_(std::move(send)),
      storage_(files_, settings.data_dir) {
  MakeCoreOptions(settings_);
  Register(wire::TABLE_PROBE, probe_table_);
}

void LogRunner::Register(wire::Table table, consensus::StateMachine& machine) {
  dispatcher_.Add(table, machine);
}

void LogRunner::Start() {
  core_.emplace(MakeCoreOptions(settings_),
                consensus::Core::Environment{
                    .clock = clock_,
                    .storage = storage_,
                    .state_machine = dispatcher_,
                    .send =
                        [this](const std::string& address,
                               wire::ConsensusMessage message) {
                          wire::Envelope envelope;
                          *envelope.mutable_consensus() = std::move(message);
                          send_(address, std::move(envelope));
                        },
                    .random = support::RandomBelow});
  support::LogInfo("log.started", {{"identity", storage_.Identity()},
                                   {"data_dir", settings_.data_dir},
                                   {"last_index", core_->status().last_index}});
}

bool LogRunner::Handle(const wire::Envelope& envelope,
                       const ReplyCallback& send_reply) {
  if (envelope.has_consensus())
    core_->Receive(envelope.consensus());
  else if (envelope.has_log_probe())
    HandleProbe(envelope, send_reply);
  else
    return false;
  return true;
}

void LogRunner::Propose(std::string command, ProposeCallback done) {
  if (core_)
    core_->Propose(std::move(command), std::move(done));
  else
    done({});
}

bool LogRunner::IsCurrentLeader() const {
  return core_ && core_->IsCurrentLeader();
}

std::string LogRunner::LeaderAddress() const {
  return core_ ? core_->LeaderAddress() : "";
}

support::TimePoint LogRunner::CurrentAsOf() const {
  return core_ ? core_->CurrentAsOf() : support::TimePoint::min();
}

void LogRunner::Flush() {
  core_->Tick();
  core_->Flush();
}

void LogRunner::HandleProbe(const wire::Envelope& envelope,
                            const ReplyCallback& send_reply) {
  const std::uint64_t correlation = envelope.correlation();
  const std::string& payload = envelope.log_probe().payload();
  if (payload.empty()) {
    send_reply(
        MakeProbeReply(correlation, wire::LogProbeReply::STATUS_ANSWERED, 0));
    return;
  }
  if (payload.size() > kMaxProbeBytes) {
    support::LogWarning("log.probe_too_large", {{"bytes", payload.size()}});
    return;
  }
  core_->Propose(
      state::EncodeCommand(wire::TABLE_PROBE, payload),
      [this, correlation,
       send_reply](const consensus::ProposeOutcome& outcome) {
        auto status = wire::LogProbeReply::STATUS_NOT_LEADER;
        if (outcome.status == consensus::ProposeStatus::kCommitted)
          status = wire::LogProbeReply::STATUS_COMMITTED;
        else if (outcome.status == consensus::ProposeStatus::kUncertain)
          status = wire::LogProbeReply::STATUS_UNCERTAIN;
        send_reply(MakeProbeReply(correlation, status, outcome.index));
      });
}

wire::Envelope LogRunner::MakeProbeReply(std::uint64_t correlation,
                                         wire::LogProbeReply::Status status,
                                         std::uint64_t index) const {
  wire::Envelope envelope;
  envelope.set_correlation(correlation);
  wire::LogProbeReply* reply = envelope.mutable_log_probe_reply();
  const consensus::CoreStatus core_status = core_->status();
  reply->set_status(status);
  reply->set_index(index);
  reply->set_leader_address(core_->LeaderAddress());
  reply->set_current_leader(core_->IsCurrentLeader());
  reply->set_age_ms(AgeMs());
  reply->set_applied(core_status.applied_index);
  reply->set_term(core_status.term);
  reply->set_probes(probe_table_.count());
  reply->set_digest(probe_table_.digest());
  *reply->mutable_config() = core_status.config;
  reply->set_snapshot_index(core_status.snapshot_index);
  return envelope;
}

std::uint32_t LogRunner::AgeMs() const {
  const auto age = std::chrono::ceil<std::chrono::milliseconds>(
      clock_.Now() - core_->CurrentAsOf());
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(age.count(), 0, UINT32_MAX));
}

void LogRunner::FillReply(wire::SyncReply& reply) const {
  reply.set_leader_address(core_->LeaderAddress());
  reply.set_age_ms(AgeMs());
}

void LogRunner::AddPeerAddress(const std::string& address) {
  core_->AddPeerAddress(address);
}

std::vector<std::string> LogRunner::ControlAddresses() const {
  std::vector<std::string> addresses;
  const consensus::CoreStatus status = core_->status();
  for (const wire::ConsensusMember& member : status.config.members())
    addresses.push_back(member.address());
  return addresses.empty() ? core_->KnownPeerAddresses() : addresses;
}

void RunOrExit(const std::function<void()>& work) {
  try {
    work();
  } catch (const std::exception& error) {
    support::LogError("control.failed", {{"error", error.what()}});
    std::cerr << "yuccastair: " << error.what() << std::endl;
    std::_Exit(kFailureExitCode);
  }
}

}  // namespace yuccastair::control
