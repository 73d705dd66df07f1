// Proposes crash operations and replies to their senders.

#include "crash_service.h"

#include "yuccastair/state/table_dispatcher.h"

namespace yuccastair::control {

CrashService::CrashService(consensus::ReplicatedLog& log,
                           const claims::FingerprintTable& table,
                           const support::Clock& clock)
    : log_(log), table_(table), time_(clock) {}

void CrashService::Propose(const wire::CrashCommand& command,
                           const consensus::ReplicatedLog::Done& done) {
  wire::CrashCommand stamped = command;
  stamped.set_time_ms(time_.Stamp(table_.time_ms()));
  log_.Propose(state::EncodeCommand(wire::TABLE_FINGERPRINTS,
                                    stamped.SerializeAsString()),
               done);
}

void CrashService::Handle(const wire::CrashReport& request,
                          const Answer& answer) {
  if (!log_.IsCurrentLeader()) {
    wire::CrashReportReply reply;
    reply.set_leader_address(log_.LeaderAddress());
    answer(reply);
    return;
  }
  wire::CrashCommand command;
  *command.add_operations() = request.operation();
  Propose(command, [this, answer](const consensus::ProposeOutcome& done) {
    wire::CrashReportReply reply;
    wire::CrashResults results;
    if (done.status == consensus::ProposeStatus::kCommitted &&
        results.ParseFromString(done.result) && results.statuses_size() == 1)
      reply.set_status(results.statuses(0));
    else
      reply.set_leader_address(log_.LeaderAddress());
    answer(reply);
  });
}

void CrashService::Tick() {
  if (!log_.IsCurrentLeader()) {
    time_.Reset();
    return;
  }
  if (expiring_ || !table_.HasExpired(time_.Stamp(table_.time_ms())))
    return;
  expiring_ = true;
  Propose({}, [this](const consensus::ProposeOutcome&) { expiring_ = false; });
}

}  // namespace yuccastair::control
