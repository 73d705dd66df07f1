// The replicated shared settings: changes, versions, history and updates for
// nodes.

#ifndef YUCCASTAIR_STATE_SETTINGS_MACHINE_H_
#define YUCCASTAIR_STATE_SETTINGS_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/state/tree.h"

namespace yuccastair::state {

/// The table TABLE_SETTINGS of the replicated log.
///
/// A command is a wire::SettingsChange and its result a wire::SettingsResult. A
/// change whose base version is not the current one is a conflict. A repeated
/// operation id gets the first result, as long as the operation is among the
/// last Limits::operations; an older one meets the version check instead, so it
/// is never applied twice. Used by one thread.
class SettingsMachine final : public consensus::StateMachine {
 public:
  /// Equal on all control processes, since they decide what a command does.
  struct Limits {
    /// Changes kept, a day's worth at 4,200 a day.
    std::size_t history = 5000;
    std::size_t history_bytes = std::size_t{8} << 20;
    std::size_t operations = 10000;
    std::size_t edits_per_change = 20000;
  };

  SettingsMachine() = default;
  explicit SettingsMachine(const Limits& limits) : limits_(limits) {}

  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;

  /// Throws Error with step "restore snapshot" if the snapshot is damaged.
  void RestoreSnapshot(const std::string& snapshot) override;

  /// Returns what Apply() would return, without a change.
  wire::SettingsResult Check(const wire::SettingsChange& change) const;

  std::uint64_t version() const { return version_; }
  const SettingsTree& tree() const { return tree_; }
  const std::deque<wire::ChangeRecord>& history() const { return history_; }

  /// Returns what changed from one version to another, one change for each
  /// entry; nothing if the history does not reach back that far.
  std::optional<std::vector<wire::EntryChange>> Diff(std::uint64_t from,
                                                     std::uint64_t to) const;

  /// Returns the encoded wire::SettingsUpdate for a node that holds
  /// \p known_version: empty if that is current, the changes since then where
  /// that is shorter, otherwise the whole settings.
  const std::string& EncodeUpdate(std::uint64_t known_version) const;

 private:
  wire::SettingsResult Decide(const wire::SettingsChange& change,
                              SettingsTree& tree) const;
  wire::SettingsResult Conflict(std::uint64_t base_version) const;
  bool CollectEdits(const wire::SettingsChange& change,
                    std::vector<wire::SettingsEdit>& edits,
                    wire::SettingsResult& result) const;
  void Record(const wire::SettingsChange& change,
              const wire::SettingsResult& result);
  void Remember(const std::string& operation_id,
                std::uint64_t digest,
                const std::string& result);
  std::string EncodeSnapshotUpdate() const;
  bool ReachesBackTo(std::uint64_t version) const;

  struct Remembered {
    std::uint64_t digest = 0;
    std::string result;
  };

  Limits limits_;
  std::uint64_t version_ = 0;
  SettingsTree tree_;
  // Consecutive versions; the last one is version_.
  std::deque<wire::ChangeRecord> history_;
  std::size_t history_bytes_ = 0;
  // The keys of operations_, oldest first.
  std::deque<std::string> operation_order_;
  std::unordered_map<std::string, Remembered> operations_;
  // Updates for nodes by the version that they hold; emptied by each change.
  mutable std::map<std::uint64_t, std::string> updates_;
};

}  // namespace yuccastair::state

#endif  // YUCCASTAIR_STATE_SETTINGS_MACHINE_H_
