// What the log core needs from durable storage.

#ifndef YUCCASTAIR_CONSENSUS_STORAGE_H_
#define YUCCASTAIR_CONSENSUS_STORAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus.pb.h"

namespace yuccastair::consensus {

/// The durable state with which a process starts.
struct StoredState {
  std::uint64_t term = 0;
  /// Identity voted for in `term`; empty for none.
  std::string vote;
  std::optional<wire::SnapshotFile> snapshot;
  /// Entries after the snapshot, consecutive. May start before its index.
  std::vector<wire::LogEntry> entries;
};

/// Durable storage of term, vote, entries and snapshot.
///
/// Every method throws support::Error if the storage fails. The state is
/// undefined after that and the process must end: a failed sync may have
/// dropped the data that it reported on.
class Storage {
 public:
  virtual ~Storage() = default;

  /// Identity of the data directory: random, made when the directory was empty.
  virtual const std::string& Identity() const = 0;
  /// Returns the state found at start; to be called once.
  virtual StoredState TakeState() = 0;

  /// Sets term and vote; durable after Sync().
  virtual void SetVote(std::uint64_t term, const std::string& vote) = 0;
  /// Adds an entry and drops any earlier entries from its index on; durable
  /// after Sync().
  virtual void Append(const wire::LogEntry& entry) = 0;
  /// Makes everything before it durable.
  virtual void Sync() = 0;

  /// Replaces the snapshot, and the log by \p retained; durable on return,
  /// together with everything before it.
  virtual void SaveSnapshot(const wire::SnapshotFile& snapshot,
                            const std::vector<wire::LogEntry>& retained) = 0;
  /// Reads the snapshot back; there must be one.
  virtual wire::SnapshotFile ReadSnapshot() = 0;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_CONSENSUS_STORAGE_H_
