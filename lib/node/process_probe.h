// Finds out whether the process behind an address is gone.

#ifndef YUCCASTAIR_LIB_NODE_PROCESS_PROBE_H_
#define YUCCASTAIR_LIB_NODE_PROCESS_PROBE_H_

#include "yuccastair/support/address.h"

namespace yuccastair::node {

/// Returns whether a connection to \p address is refused, as the kernel does
/// where no process listens. Waits at most 100 ms; an address that does not
/// answer, or a process that was restarted meanwhile, does not count as gone.
bool IsProcessGone(const support::Address& address);

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_PROCESS_PROBE_H_
