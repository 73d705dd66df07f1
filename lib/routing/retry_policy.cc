// The rule of what may be retried.

#include "yuccastair/routing/retry_policy.h"

namespace yuccastair::routing {

bool MayRetry(bool idempotent, const wire::CallReply& reply) {
  // A request that crashed its target is reported before it may reach another.
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
