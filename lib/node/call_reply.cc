// Replies for rejected and failed calls.

#include "call_reply.h"

namespace yuccastair::node {
namespace {

wire::CallReply Failure(wire::Outcome outcome,
                        const std::string& step,
                        const std::string& reason,
                        int status) {
  wire::CallReply reply;
  reply.set_outcome(outcome);
  reply.set_status(static_cast<std::uint32_t>(status));
  reply.set_step(step);
  reply.set_reason(reason);
  return reply;
}

}  // namespace

wire::CallReply NotRunReply(const std::string& step,
                            const std::string& reason,
                            int status) {
  return Failure(wire::OUTCOME_NOT_RUN, step, reason, status);
}

wire::CallReply UnknownReply(const std::string& step,
                             const std::string& reason,
                             int status) {
  return Failure(wire::OUTCOME_UNKNOWN, step, reason, status);
}

}  // namespace yuccastair::node
