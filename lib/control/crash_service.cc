// Proposes crash operations and replies to their senders.

#include "crash_service.h"

#include "yuccastair/state/table_dispatcher.h"
#include "yuccastair/support/hex.h"
#include "yuccastair/support/log.h"

namespace yuccastair::control {
namespace {

// Bounds the commands in the log.
constexpr int kMaxOperations = 256;

}  // namespace

CrashService::CrashService(consensus::ReplicatedLog& log,
                           const claims::FingerprintTable& table,
                           const support::Clock& clock)
    : log_(log), table_(table), command_clock_(clock) {}

void CrashService::Propose(
    const wire::CrashCommand& command,
    const consensus::ReplicatedLog::ProposeCallback& done) {
  wire::CrashCommand stamped = command;
  stamped.set_time_ms(command_clock_.NextTimestampMs(table_.time_ms()));
  log_.Propose(state::EncodeCommand(wire::TABLE_FINGERPRINTS,
                                    stamped.SerializeAsString()),
               done);
}

void CrashService::Handle(const wire::CrashReport& request,
                          const ReplyCallback& send_reply) {
  if (!log_.IsCurrentLeader()) {
    wire::CrashReportReply reply;
    reply.set_leader_address(log_.LeaderAddress());
    send_reply(reply);
    return;
  }
  if (request.operations_size() > kMaxOperations) {
    support::LogWarning("crash.report_too_long",
                        {{"operations", request.operations_size()}});
    send_reply({});
    return;
  }
  wire::CrashCommand command;
  *command.mutable_operations() = request.operations();
  Propose(command, [this, send_reply, count = request.operations_size()](
                       const consensus::ProposeOutcome& outcome) {
    wire::CrashReportReply reply;
    wire::CrashResults results;
    if (outcome.status == consensus::ProposeStatus::kCommitted &&
        results.ParseFromString(outcome.result) &&
        results.statuses_size() == count)
      *reply.mutable_statuses() = results.statuses();
    else
      reply.set_leader_address(log_.LeaderAddress());
    send_reply(reply);
  });
}

void CrashService::Clear(
    const std::string& fingerprint,
    const consensus::ReplicatedLog::ProposeCallback& done) {
  wire::CrashCommand command;
  wire::CrashOperation* operation = command.add_operations();
  operation->set_action(wire::CRASH_ACTION_CLEAR);
  operation->set_fingerprint(fingerprint);
  Propose(command, done);
}

nlohmann::json CrashService::ListSuspects() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& suspect : table_.List())
    list.push_back({{"fingerprint", support::ToHex(suspect.hash)},
                    {"blocked", suspect.blocked()},
                    {"processes", suspect.targets},
                    {"crashes_to_block", suspect.crashes_to_block}});
  return list;
}

void CrashService::Tick() {
  if (!log_.IsCurrentLeader()) {
    command_clock_.Reset();
    return;
  }
  if (expiry_in_flight_ ||
      !table_.HasExpired(command_clock_.NextTimestampMs(table_.time_ms())))
    return;
  expiry_in_flight_ = true;
  Propose({}, [this](const consensus::ProposeOutcome&) {
    expiry_in_flight_ = false;
  });
}

}  // namespace yuccastair::control
