// Which control process a node reports to.

#ifndef YUCCASTAIR_MEMBERSHIP_HOME_ORDER_H_
#define YUCCASTAIR_MEMBERSHIP_HOME_ORDER_H_

#include <string>
#include <vector>

namespace yuccastair::membership {

/// Orders the control processes for one node by rendezvous hashing, so that the
/// nodes spread evenly and few move when a control process is gone.
std::vector<std::string> OrderForNode(std::vector<std::string> controls,
                                      const std::string& node_id);

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_HOME_ORDER_H_
