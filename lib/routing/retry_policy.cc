// Decides which outcomes may be retried.

#include "yuccastair/routing/retry_policy.h"

namespace yuccastair::routing {

bool IsRetryable(bool idempotent, const wire::CallReply& reply) {
  // A request that crashed its target must be reported before it may reach
  // another one.
  if (!reply.crashed_target().empty())
    return false;
  switch (reply.outcome()) {
    case wire::OUTCOME_NOT_RUN:
      return !reply.service_overloaded();
    case wire::OUTCOME_UNKNOWN:
      return idempotent;
    default:
      return false;
  }
}

}  // namespace yuccastair::routing
