// Proposes departures and replies to the relays that report them.

#include "departure_service.h"

#include "yuccastair/state/table_dispatcher.h"
#include "yuccastair/support/log.h"

namespace yuccastair::control {

void DepartureService::Handle(const wire::DepartureReport& report,
                              const ReplyCallback& send_reply) {
  if (!membership::DepartureTable::IsValid(report)) {
    support::LogWarning("departure.report_malformed",
                        {{"node", report.node_id()}});
    send_reply({});
    return;
  }
  if (!log_.IsCurrentLeader()) {
    wire::DepartureReply reply;
    reply.set_leader_address(log_.LeaderAddress());
    send_reply(reply);
    return;
  }
  const auto reply_held = [this, report, send_reply] {
    wire::DepartureReply reply;
    reply.set_held(table_.Covers(report));
    reply.set_leader_address(log_.LeaderAddress());
    send_reply(reply);
  };
  if (table_.Covers(report)) {
    reply_held();
    return;
  }
  log_.Propose(
      state::EncodeCommand(wire::TABLE_DEPARTURES, report.SerializeAsString()),
      [reply_held](const consensus::ProposeOutcome&) { reply_held(); });
}

void DepartureService::FillReply(const wire::SyncRequest& request,
                                 wire::SyncReply& reply) const {
  const wire::Member& self = request.self();
  const wire::TargetProcess* departed = table_.Find(self.node_id());
  if (departed == nullptr ||
      (self.departing_target().target_id() == departed->target_id() &&
       self.departing_target().started_ms() == departed->started_ms()))
    return;
  // The registry may know of a later departure that is not committed yet.
  if (reply.departing_target().started_ms() <= departed->started_ms())
    *reply.mutable_departing_target() = *departed;
}

}  // namespace yuccastair::control
