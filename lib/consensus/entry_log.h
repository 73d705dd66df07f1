// The part of the log that is kept in memory: all entries after the snapshot,
// and some that it covers, for followers that are slightly behind.

#ifndef YUCCASTAIR_LIB_CONSENSUS_ENTRY_LOG_H_
#define YUCCASTAIR_LIB_CONSENSUS_ENTRY_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus.pb.h"

namespace yuccastair::consensus {

/// Entries with consecutive indices, and the configurations that they set.
class EntryLog {
 public:
  std::uint64_t last_index() const { return base_index_ + entries_.size(); }
  std::uint64_t last_term() const { return *TermAt(last_index()); }
  /// Index of the oldest entry held.
  std::uint64_t first_index() const { return base_index_ + 1; }

  /// Returns the term of an entry, or of the one just before the oldest entry
  /// held; nothing for any other index.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;
  /// Returns the entry at \p index, which must be held.
  const wire::LogEntry& EntryAt(std::uint64_t index) const {
    return entries_[index - base_index_ - 1];
  }

  /// Returns the index of the newest entry that does not belong to the last \p
  /// max_entries entries up to \p index, or to those with at most \p max_bytes
  /// in total.
  std::uint64_t LastIndexBeyond(std::uint64_t index,
                                std::uint64_t max_entries,
                                std::size_t max_bytes) const;

  void Append(wire::LogEntry entry);
  /// Drops the entries from \p index on.
  void TruncateFrom(std::uint64_t index);
  /// Drops the entries up to \p index.
  void DropThrough(std::uint64_t index);
  /// Drops all entries, and continues after the last entry of a snapshot.
  void Reset(const wire::SnapshotMeta& meta);
  std::vector<wire::LogEntry> EntriesFrom(std::uint64_t index) const;

  /// The latest configuration, committed or not.
  const wire::ConsensusConfig& config() const { return configs_.back().second; }
  /// Index of the entry that set the latest configuration; 0 for none.
  std::uint64_t config_index() const { return configs_.back().first; }
  /// Returns the configuration as of \p index, which must not be below that of
  /// the snapshot.
  const wire::ConsensusConfig& ConfigAt(std::uint64_t index) const;

 private:
  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::deque<wire::LogEntry> entries_;
  // Ascending by index; never empty.
  std::deque<std::pair<std::uint64_t, wire::ConsensusConfig>> configs_{{0, {}}};
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_LIB_CONSENSUS_ENTRY_LOG_H_
