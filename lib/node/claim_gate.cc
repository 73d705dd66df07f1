// Lets every request run until claims are held.

#include "claim_gate.h"

namespace yuccastair::node {

std::optional<wire::CallReply> ClaimGate::Begin(
    const wire::CallRequest& /*call*/,
    const std::string& /*idempotency_key*/,
    support::TimePoint /*deadline*/) {
  return std::nullopt;
}

void ClaimGate::Finish(const wire::CallRequest& /*call*/,
                       const std::string& /*idempotency_key*/,
                       const wire::CallReply& /*reply*/) {}

}  // namespace yuccastair::node
