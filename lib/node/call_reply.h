// Builds the replies of a node to a call that did not get the target's answer.

#ifndef YUCCASTAIR_LIB_NODE_CALL_REPLY_H_
#define YUCCASTAIR_LIB_NODE_CALL_REPLY_H_

#include <string>

#include "envelope.pb.h"

namespace yuccastair::node {

/// Nothing of the request reached a target. \p step names the rule or duty that
/// decided.
wire::CallReply NotRun(const std::string& step,
                       const std::string& reason,
                       int status = 503);

/// The request may have run.
wire::CallReply Unknown(const std::string& step,
                        const std::string& reason,
                        int status = 502);

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_CALL_REPLY_H_
