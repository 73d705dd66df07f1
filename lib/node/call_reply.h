// Builds the replies of a node to calls without a response of the target.

#ifndef YUCCASTAIR_LIB_NODE_CALL_REPLY_H_
#define YUCCASTAIR_LIB_NODE_CALL_REPLY_H_

#include <string>

#include "envelope.pb.h"

namespace yuccastair::node {

/// Reports that nothing of the request reached a target. \p step names the
/// processing step that decided this.
wire::CallReply NotRunReply(const std::string& step,
                            const std::string& reason,
                            int status = 503);

/// Reports that the request may have run.
wire::CallReply UnknownReply(const std::string& step,
                             const std::string& reason,
                             int status = 502);

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_CALL_REPLY_H_
