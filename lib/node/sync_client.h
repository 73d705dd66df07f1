// Synchronises a node with the control processes.

#ifndef YUCCASTAIR_LIB_NODE_SYNC_CLIENT_H_
#define YUCCASTAIR_LIB_NODE_SYNC_CLIENT_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "envelope.pb.h"
#include "yuccastair/support/clock.h"
#include "yuccastair/wire/pending_calls.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair::node {

/// Sends a SyncRequest to one control process every interval, and changes to
/// the next control process after two missed replies.
class SyncClient {
 public:
  struct Options {
    std::vector<std::string> control_addresses;
    std::string node_id;
    std::chrono::milliseconds interval{500};
    /// Fills in the request to send; called on the sync thread.
    std::function<void(wire::SyncRequest&)> fill_request;
    /// Applies each reply; called on the sync thread. Returns false if the
    /// reply could not be applied, so that the state does not count as current.
    std::function<bool(const wire::SyncReply&)> apply_reply;
  };

  SyncClient(Options options,
             wire::Transport& transport,
             wire::PendingCalls& pending);
  ~SyncClient();

  /// Sends the next request now.
  void Wake();

  /// Returns the time of the boot clock at which the state of this node was
  /// last known to be current.
  support::TimePoint current_as_of() const;

 private:
  void Run();
  bool SyncOnce(const std::string& control);

  const Options options_;
  wire::Transport& transport_;
  wire::PendingCalls& pending_;
  std::atomic<support::Duration::rep> current_as_of_ = 0;
  std::mutex mutex_;
  std::condition_variable wake_condition_;
  bool wake_requested_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_SYNC_CLIENT_H_
