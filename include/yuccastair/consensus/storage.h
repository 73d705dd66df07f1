// Interface of the durable storage of the replicated log.

#ifndef YUCCASTAIR_CONSENSUS_STORAGE_H_
#define YUCCASTAIR_CONSENSUS_STORAGE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "consensus.pb.h"

namespace yuccastair::consensus {

/// The durable state with which a process starts.
struct StoredState {
  std::uint64_t term = 0;
  /// Identity voted for in `term`; empty for none.
  std::string voted_for;
  std::optional<wire::SnapshotFile> snapshot;
  /// Consecutive entries. They start at most one index after the snapshot and
  /// may overlap it; entries before the last one that the snapshot covers may
  /// be left out.
  std::deque<wire::LogEntry> entries;
};

/// Durable storage of term, vote, entries and snapshot.
///
/// Every method throws support::Error if the storage fails. The state is
/// undefined after that and the process must exit: a failed sync may have
/// dropped the data that it was to write.
class Storage {
 public:
  virtual ~Storage() = default;

  /// Returns the identity of the data directory, a random string generated when
  /// the directory was empty.
  virtual const std::string& Identity() const = 0;
  /// Returns the state found at start; to be called once.
  virtual StoredState TakeStoredState() = 0;

  /// Sets term and vote; durable after Sync().
  virtual void SetTermAndVote(std::uint64_t term,
                              const std::string& voted_for) = 0;
  /// Appends an entry, which replaces all existing entries from its index on;
  /// durable after Sync().
  virtual void Append(const wire::LogEntry& entry) = 0;
  /// Makes all earlier writes durable.
  virtual void Sync() = 0;

  /// Replaces the snapshot, and the log with \p retained; durable on return,
  /// together with all earlier writes.
  virtual void SaveSnapshot(const wire::SnapshotFile& snapshot,
                            const std::vector<wire::LogEntry>& retained) = 0;
  /// Reads the stored snapshot, which must exist.
  virtual wire::SnapshotFile ReadSnapshot() = 0;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_CONSENSUS_STORAGE_H_
