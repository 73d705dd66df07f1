// The registry of nodes and their targets at a control process.

#ifndef YUCCASTAIR_MEMBERSHIP_REGISTRY_H_
#define YUCCASTAIR_MEMBERSHIP_REGISTRY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "sync.pb.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::membership {

/// Soft state about the members of every service, rebuilt from what nodes
/// report.
class Registry {
 public:
  /// A member that has not reported for \p expiry is removed.
  Registry(const support::Clock& clock, std::chrono::milliseconds expiry);

  /// Records what a node says about itself.
  void Report(const wire::Member& member);

  /// Removes members that have not reported in time.
  void RemoveExpired();

  /// Adds the members of \p service to \p reply if its revision differs from
  /// \p known_revision.
  void FillReply(const std::string& service,
                 std::uint64_t known_revision,
                 wire::SyncReply& reply) const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    wire::Member member;
    support::TimePoint reported_at;
  };

  const support::Clock& clock_;
  const std::chrono::milliseconds expiry_;
  // By node id.
  std::map<std::string, Entry> entries_;
  // Grows with every change of the service's membership; never 0, which stands
  // for a node that knows nothing.
  std::map<std::string, std::uint64_t> revisions_;
  std::uint64_t next_revision_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_REGISTRY_H_
