// The replicated table of the targets that have said that they leave.

#ifndef YUCCASTAIR_MEMBERSHIP_DEPARTURE_TABLE_H_
#define YUCCASTAIR_MEMBERSHIP_DEPARTURE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "sync.pb.h"
#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::membership {

/// The table TABLE_DEPARTURES of the replicated log. A command is a
/// wire::DepartureReport; it has no result.
///
/// Holds the last departure of each node's target, so that a node process that
/// is restarted does not use a target that it has let go.
class DepartureTable final : public consensus::StateMachine {
 public:
  /// Must be equal on all control processes. Beyond them the departure that is
  /// oldest by its commit is dropped.
  static constexpr std::size_t kMaxDepartures = 16384;
  static constexpr std::size_t kMaxNameBytes = 256;

  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;

  /// Throws Error with step "restore snapshot" if the snapshot is damaged.
  void RestoreSnapshot(const std::string& snapshot) override;

  /// Returns whether the table holds the departure of \p report, or a later one
  /// of the same node.
  bool Covers(const wire::DepartureReport& report) const;

  /// Returns the last departure of a node's target; null if there is none.
  const wire::TargetProcess* Find(const std::string& node_id) const;

  /// Returns whether a report could be held.
  static bool IsValid(const wire::DepartureReport& report);

 private:
  // Ordered by commit, oldest first.
  std::list<wire::DepartureReport> departures_;
  std::unordered_map<std::string, std::list<wire::DepartureReport>::iterator>
      departure_by_node_;
};

}  // namespace yuccastair::membership

#endif  // YUCCASTAIR_MEMBERSHIP_DEPARTURE_TABLE_H_
