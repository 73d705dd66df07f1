// Lets a non-idempotent request with an Idempotency-Key run at most once.

#ifndef YUCCASTAIR_LIB_NODE_CLAIM_GATE_H_
#define YUCCASTAIR_LIB_NODE_CLAIM_GATE_H_

#include <optional>
#include <string>

#include "envelope.pb.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// Claims requests before they run and records how they ended.
class ClaimGate {
 public:
  /// Claims \p call under \p idempotency_key. Returns the reply to give where
  /// the request must not run: the first answer, a refusal, or `unknown`.
  std::optional<wire::CallReply> Begin(const wire::CallRequest& call,
                                       const std::string& idempotency_key,
                                       support::TimePoint deadline);

  /// Records the end of a request for which Begin() returned nothing.
  void Finish(const wire::CallRequest& call,
              const std::string& idempotency_key,
              const wire::CallReply& reply);
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_CLAIM_GATE_H_
