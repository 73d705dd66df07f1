// Handles reports about the services that routes need.

#include "route_need_service.h"

#include "yuccastair/state/table_dispatcher.h"
#include "yuccastair/support/log.h"

namespace yuccastair::control {

void RouteNeedService::Handle(const wire::RouteNeedReport& report) {
  if (change_in_flight_ || !log_.IsCurrentLeader())
    return;
  wire::RouteNeedCommand command;
  for (const wire::RouteNeed& need : report.needs()) {
    if (table_.WouldChange(need))
      *command.add_needs() = need;
  }
  if (command.needs().empty())
    return;
  change_in_flight_ = true;
  log_.Propose(state::EncodeCommand(wire::TABLE_ROUTE_NEEDS,
                                    command.SerializeAsString()),
               [this, command](const consensus::ProposeOutcome& outcome) {
                 change_in_flight_ = false;
                 if (outcome.status != consensus::ProposeStatus::kCommitted)
                   return;
                 for (const wire::RouteNeed& need : command.needs())
                   support::LogInfo(
                       "route.need_changed",
                       {{"route", need.route()}, {"service", need.service()}});
               });
}

void RouteNeedService::FillReply(const wire::SyncRequest& request,
                                 wire::SyncReply& reply) const {
  if (request.route_needs_version() < table_.version())
    table_.FillList(*reply.mutable_route_needs());
}

}  // namespace yuccastair::control
