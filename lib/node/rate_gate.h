// Spends the rate of an organisation for each request at its entry.

#ifndef YUCCASTAIR_LIB_NODE_RATE_GATE_H_
#define YUCCASTAIR_LIB_NODE_RATE_GATE_H_

#include <optional>
#include <string>

#include "envelope.pb.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// Admits requests within the rate and burst of their organisation.
class RateGate {
 public:
  /// Takes one token; returns the refusal if there is none in time.
  std::optional<wire::CallReply> Admit(const std::string& organisation,
                                       support::TimePoint deadline);
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_RATE_GATE_H_
