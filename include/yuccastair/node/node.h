// The node process: accepts the requests of callers and controls admission to
// the local target.

#ifndef YUCCASTAIR_NODE_NODE_H_
#define YUCCASTAIR_NODE_NODE_H_

#include <memory>

#include "yuccastair/node/settings.h"

namespace yuccastair::node {

/// All threads and state of one node process.
class Node {
 public:
  /// Starts the node. Throws Error if an address cannot be bound.
  explicit Node(Settings settings);
  ~Node();

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Announces that the node is leaving and serves until others have noticed.
  /// Then it refuses new requests of callers and calls of other nodes, and
  /// waits for those that it has accepted, at most Settings::shutdown_timeout.
  void Drain();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_NODE_NODE_H_
