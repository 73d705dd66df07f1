// Storage of the replicated log in one data directory.

#ifndef YUCCASTAIR_CONSENSUS_DISK_STORAGE_H_
#define YUCCASTAIR_CONSENSUS_DISK_STORAGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "yuccastair/consensus/file_system.h"
#include "yuccastair/consensus/storage.h"
#include "yuccastair/support/id.h"

namespace yuccastair::consensus {

/// Keeps the files `lock`, `log` and `snapshot` in a data directory.
///
/// The log is a sequence of frames. Each frame holds everything written between
/// two syncs, so only the last frame can be incomplete after a crash; an
/// incomplete frame is truncated. Damage to any earlier frame is an Error,
/// because acknowledged entries would be lost. Every start appends a frame, so
/// that this check covers all frames of earlier runs. Damage to the very last
/// frame cannot be distinguished from a torn write.
class DiskStorage final : public Storage {
 public:
  /// Opens the directory, and assigns it an identity if it is empty. Throws
  /// Error if it is locked, damaged, or a copy of another data directory. \p
  /// make_identity generates the identity, so that tests are reproducible.
  DiskStorage(
      FileSystem& file_system,
      std::string directory,
      const std::function<std::string()>& make_identity = support::RandomId);

  const std::string& Identity() const override { return identity_; }
  StoredState TakeStoredState() override;
  void SetTermAndVote(std::uint64_t term,
                      const std::string& voted_for) override;
  void Append(const wire::LogEntry& entry) override;
  void Sync() override;
  void SaveSnapshot(const wire::SnapshotFile& snapshot,
                    const std::vector<wire::LogEntry>& retained) override;
  wire::SnapshotFile ReadSnapshot() override;

 private:
  std::string Path(const std::string& name) const;
  void LoadLog();
  void RewriteLog(const std::vector<wire::LogEntry>& entries);
  void ReplaceFile(const std::string& name, const std::string& content);

  FileSystem& file_system_;
  const std::string directory_;
  std::uint64_t lock_inode_ = 0;
  std::string identity_;
  StoredState loaded_state_;
  // Term and vote as of the last SetTermAndVote.
  std::uint64_t term_ = 0;
  std::string voted_for_;
  // Sequence number of the last frame written.
  std::uint64_t last_sequence_ = 0;
  // Content of the next frame, if has_unsynced_changes_.
  wire::LogFrame pending_frame_;
  bool has_unsynced_changes_ = false;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_CONSENSUS_DISK_STORAGE_H_
