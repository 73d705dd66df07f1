// Admits everything until rates are known.

#include "rate_gate.h"

namespace yuccastair::node {

std::optional<wire::CallReply> RateGate::Admit(
    const std::string& /*organisation*/,
    support::TimePoint /*deadline*/) {
  return std::nullopt;
}

}  // namespace yuccastair::node
