// Assigns control processes to nodes.

#ifndef YUCCASTAIR_MEMBERSHIP_CONTROL_ORDER_H_
#define YUCCASTAIR_MEMBERSHIP_CONTROL_ORDER_H_

#include <string>
#include <vector>

namespace yuccastair::membership {

/// Returns \p controls in the order of preference of one node.
///
/// Rendezvous hashing spreads the nodes evenly, and only the nodes of a control
/// process that stops move to another one.
std::vector<std::string> OrderControlsForNode(std::vector<std::string> controls,
                                              const std::string& node_id);

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_CONTROL_ORDER_H_
