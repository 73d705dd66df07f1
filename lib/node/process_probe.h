// Detects whether the process that listens on an address has stopped.

#ifndef YUCCASTAIR_LIB_NODE_PROCESS_PROBE_H_
#define YUCCASTAIR_LIB_NODE_PROCESS_PROBE_H_

#include "yuccastair/support/address.h"

namespace yuccastair::node {

/// Returns whether a connection to \p address is refused, which the kernel does
/// if no process listens. Waits at most 100 ms. Returns false if the address
/// does not respond or the process has been restarted in the meantime.
bool IsProcessStopped(const support::Address& address);

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_PROCESS_PROBE_H_
