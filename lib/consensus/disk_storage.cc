// Reads and writes the files of a data directory.

#include "yuccastair/consensus/disk_storage.h"

#include <utility>

#include "frame.h"
#include "yuccastair/support/error.h"
#include "yuccastair/support/log.h"

namespace yuccastair::consensus {
namespace {

constexpr const char* kLogFileName = "log";
constexpr const char* kSnapshotFileName = "snapshot";
constexpr const char* kLockFileName = "lock";
constexpr const char* kTemporarySuffix = ".tmp";

[[noreturn]] void ThrowDamaged(const std::string& path,
                               const std::string& message) {
  throw support::Error("open data directory", "", path + ": " + message);
}

void ReplaceEntriesFrom(std::deque<wire::LogEntry>& entries,
                        wire::LogEntry entry) {
  while (!entries.empty() && entries.back().index() >= entry.index())
    entries.pop_back();
  entries.push_back(std::move(entry));
}

}  // namespace

DiskStorage::DiskStorage(FileSystem& file_system,
                         std::string directory,
                         const std::function<std::string()>& make_identity)
    : file_system_(file_system), directory_(std::move(directory)) {
  file_system_.CreateDirectory(directory_);
  lock_inode_ = file_system_.Lock(Path(kLockFileName));
  file_system_.Remove(Path(kLogFileName) + kTemporarySuffix);
  file_system_.Remove(Path(kSnapshotFileName) + kTemporarySuffix);
  if (file_system_.Exists(Path(kSnapshotFileName)))
    loaded_state_.snapshot = ReadSnapshot();
  if (file_system_.Exists(Path(kLogFileName))) {
    LoadLog();
    // Appends a frame, so that the next start detects damage to any earlier
    // one, and verifies that the disk is writable.
    has_unsynced_changes_ = true;
    Sync();
    return;
  }
  if (loaded_state_.snapshot)
    ThrowDamaged(directory_,
                 "there is a snapshot but no log; remove the data "
                 "directory so that the process rejoins as a new "
                 "member");
  identity_ = make_identity();
  RewriteLog({});
}

std::string DiskStorage::Path(const std::string& name) const {
  return directory_ + "/" + name;
}

void DiskStorage::LoadLog() {
  const std::string path = Path(kLogFileName);
  const std::uint64_t snapshot_index =
      loaded_state_.snapshot ? loaded_state_.snapshot->meta().index() : 0;
  FrameReader reader(file_system_, path);
  while (const auto payload = reader.Next()) {
    wire::LogFrame frame;
    if (!frame.ParseFromArray(payload->data(),
                              static_cast<int>(payload->size())) ||
        frame.sequence() != last_sequence_ + 1)
      ThrowDamaged(path, "record " + std::to_string(last_sequence_ + 1) +
                             " is missing or malformed");
    last_sequence_ = frame.sequence();
    if (last_sequence_ == 1) {
      identity_ = frame.identity();
      // A copy may lack entries that this identity has acknowledged, so it must
      // not vote as this identity.
      if (frame.lock_inode() != lock_inode_)
        ThrowDamaged(directory_,
                     "the data directory is a copy and may be older than what "
                     "was acknowledged; remove it so that the process rejoins "
                     "as a new member");
    }
    term_ = frame.term();
    voted_for_ = frame.vote();
    for (wire::LogEntry& entry : *frame.mutable_entries()) {
      if (!loaded_state_.entries.empty() &&
          entry.index() > loaded_state_.entries.back().index() + 1)
        ThrowDamaged(path, "entries before " + std::to_string(entry.index()) +
                               " are missing");
      ReplaceEntriesFrom(loaded_state_.entries, std::move(entry));
      // An earlier entry only tells whether the log continues the snapshot,
      // for which the last one suffices.
      while (loaded_state_.entries.size() > 1 &&
             loaded_state_.entries.front().index() < snapshot_index)
        loaded_state_.entries.pop_front();
    }
  }
  if (last_sequence_ == 0)
    ThrowDamaged(path, "the file is empty");
  if (!loaded_state_.entries.empty() &&
      loaded_state_.entries.front().index() > snapshot_index + 1)
    ThrowDamaged(path,
                 "the snapshot that precedes entry " +
                     std::to_string(loaded_state_.entries.front().index()) +
                     " is missing");
  if (reader.intact_bytes() == reader.file_bytes())
    return;
  support::LogWarning(
      "log.torn_record_truncated",
      {{"path", path}, {"bytes", reader.file_bytes() - reader.intact_bytes()}});
  file_system_.Truncate(path, reader.intact_bytes());
  file_system_.Sync(path);
}

StoredState DiskStorage::TakeStoredState() {
  loaded_state_.term = term_;
  loaded_state_.voted_for = voted_for_;
  return std::exchange(loaded_state_, {});
}

void DiskStorage::SetTermAndVote(std::uint64_t term,
                                 const std::string& voted_for) {
  term_ = term;
  voted_for_ = voted_for;
  has_unsynced_changes_ = true;
}

void DiskStorage::Append(const wire::LogEntry& entry) {
  *pending_frame_.add_entries() = entry;
  has_unsynced_changes_ = true;
}

void DiskStorage::Sync() {
  if (!has_unsynced_changes_)
    return;
  pending_frame_.set_sequence(++last_sequence_);
  pending_frame_.set_term(term_);
  pending_frame_.set_vote(voted_for_);
  file_system_.Append(Path(kLogFileName), EncodeFrame(pending_frame_));
  file_system_.Sync(Path(kLogFileName));
  pending_frame_.Clear();
  has_unsynced_changes_ = false;
}

void DiskStorage::SaveSnapshot(const wire::SnapshotFile& snapshot,
                               const std::vector<wire::LogEntry>& retained) {
  // The snapshot is replaced first. If the process stops before the log is
  // replaced, the next start reads the new snapshot with the old log, which is
  // consistent as well.
  ReplaceFile(kSnapshotFileName, EncodeFrame(snapshot));
  RewriteLog(retained);
}

wire::SnapshotFile DiskStorage::ReadSnapshot() {
  const std::string path = Path(kSnapshotFileName);
  FrameReader reader(file_system_, path);
  const auto payload = reader.Next();
  wire::SnapshotFile snapshot;
  if (!payload || reader.intact_bytes() != reader.file_bytes() ||
      !snapshot.ParseFromArray(payload->data(),
                               static_cast<int>(payload->size())))
    ThrowDamaged(path, "the snapshot is damaged");
  return snapshot;
}

void DiskStorage::RewriteLog(const std::vector<wire::LogEntry>& entries) {
  pending_frame_.Clear();
  last_sequence_ = 1;
  pending_frame_.set_sequence(last_sequence_);
  pending_frame_.set_identity(identity_);
  pending_frame_.set_lock_inode(lock_inode_);
  pending_frame_.set_term(term_);
  pending_frame_.set_vote(voted_for_);
  for (const wire::LogEntry& entry : entries)
    *pending_frame_.add_entries() = entry;
  ReplaceFile(kLogFileName, EncodeFrame(pending_frame_));
  pending_frame_.Clear();
  has_unsynced_changes_ = false;
}

void DiskStorage::ReplaceFile(const std::string& name,
                              const std::string& content) {
  const std::string temporary = Path(name) + kTemporarySuffix;
  file_system_.Remove(temporary);
  file_system_.Append(temporary, content);
  file_system_.Sync(temporary);
  file_system_.Rename(temporary, Path(name));
  file_system_.SyncDirectory(directory_);
}

}  // namespace yuccastair::consensus
