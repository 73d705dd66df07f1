// Replies to nodes and exchanges membership with other control processes.

#ifndef YUCCASTAIR_LIB_CONTROL_SYNC_SERVICE_H_
#define YUCCASTAIR_LIB_CONTROL_SYNC_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sync.pb.h"
#include "yuccastair/membership/registry.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Handles the syncs of nodes and pulls the membership of the other control
/// processes. Used on the core thread.
class SyncService {
 public:
  /// Interval between pulls from each other control process.
  static constexpr std::chrono::milliseconds kPullInterval{200};

  struct Options {
    /// Availability zone of this control process.
    std::string availability_zone;
    /// Addresses of the other control processes.
    std::vector<std::string> peers;
    /// Sends a pull. Its reply is passed to HandleDelta() with the same
    /// correlation.
    std::function<void(const std::string& peer,
                       std::uint64_t correlation,
                       const wire::MembershipPull& pull)>
        send_pull;
    /// Sets the parts of a reply that do not concern membership; may be empty.
    std::function<void(const wire::SyncRequest&, wire::SyncReply&)> fill_reply;
  };

  SyncService(Options options,
              membership::Registry& registry,
              const support::Clock& clock);

  wire::SyncReply HandleSync(const wire::SyncRequest& request);
  wire::MembershipDelta HandlePull(const wire::MembershipPull& pull) const;

  /// Applies the reply to the latest pull. A reply to an earlier pull is
  /// ignored.
  void HandleDelta(const std::string& peer,
                   std::uint64_t correlation,
                   const wire::MembershipDelta& delta);

  /// Returns the availability zone of another control process; empty until its
  /// first reply.
  std::string ZoneOf(const std::string& peer) const;

  /// Replaces the control processes to pull membership from.
  void SetPeers(const std::vector<std::string>& peers);

  /// Expires members and sends pulls that are due.
  void Tick();

 private:
  struct Peer {
    std::uint64_t pull_correlation = 0;
    support::TimePoint pulled_at;
    std::string availability_zone;
  };

  void SendPull(const std::string& name, Peer& peer);

  const Options options_;
  membership::Registry& registry_;
  const support::Clock& clock_;
  std::uint64_t next_correlation_ = 1;
  std::map<std::string, Peer> peers_;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_SYNC_SERVICE_H_
