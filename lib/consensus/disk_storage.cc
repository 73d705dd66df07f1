// Reads and writes the files of a data directory.

#include "yuccastair/consensus/disk_storage.h"

#include <utility>

#include "frame.h"
#include "yuccastair/support/error.h"
#include "yuccastair/support/log.h"

namespace yuccastair::consensus {
namespace {

constexpr const char* kLog = "log";
constexpr const char* kSnapshot = "snapshot";
constexpr const char* kLock = "lock";
constexpr const char* kTemporary = ".tmp";

[[noreturn]] void ThrowDamaged(const std::string& path,
                               const std::string& message) {
  throw support::Error("open data directory", "", path + ": " + message);
}

void AddEntry(std::vector<wire::LogEntry>& entries, wire::LogEntry entry) {
  while (!entries.empty() && entries.back().index() >= entry.index())
    entries.pop_back();
  entries.push_back(std::move(entry));
}

}  // namespace

DiskStorage::DiskStorage(Files& files,
                         std::string directory,
                         const std::function<std::string()>& make_identity)
    : files_(files), directory_(std::move(directory)) {
  files_.CreateDirectory(directory_);
  lock_inode_ = files_.Lock(Path(kLock));
  files_.Remove(Path(kLog) + kTemporary);
  files_.Remove(Path(kSnapshot) + kTemporary);
  if (files_.Exists(Path(kSnapshot)))
    loaded_.snapshot = ReadSnapshot();
  if (files_.Exists(Path(kLog))) {
    LoadLog();
    // Appends a frame, so that the next start detects damage to any earlier
    // one, and verifies that the disk is writable.
    dirty_ = true;
    Sync();
    return;
  }
  if (loaded_.snapshot)
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
  const std::string path = Path(kLog);
  const std::string bytes = files_.Read(path);
  const DecodedFrames frames = DecodeFrames(bytes, path);
  if (frames.payloads.empty())
    ThrowDamaged(path, "the file is empty");
  for (const std::string_view payload : frames.payloads) {
    wire::LogFrame frame;
    if (!frame.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size())) ||
        frame.sequence() != sequence_ + 1)
      ThrowDamaged(path, "record " + std::to_string(sequence_ + 1) +
                             " is missing or malformed");
    sequence_ = frame.sequence();
    if (sequence_ == 1) {
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
    vote_ = frame.vote();
    for (wire::LogEntry& entry : *frame.mutable_entries()) {
      if (!loaded_.entries.empty() &&
          entry.index() > loaded_.entries.back().index() + 1)
        ThrowDamaged(path, "entries before " + std::to_string(entry.index()) +
                               " are missing");
      AddEntry(loaded_.entries, std::move(entry));
    }
  }
  const std::uint64_t covered =
      loaded_.snapshot ? loaded_.snapshot->meta().index() : 0;
  if (!loaded_.entries.empty() && loaded_.entries.front().index() > covered + 1)
    ThrowDamaged(path, "the snapshot that precedes entry " +
                           std::to_string(loaded_.entries.front().index()) +
                           " is missing");
  if (frames.intact_size == bytes.size())
    return;
  support::LogWarning(
      "log.torn_record_truncated",
      {{"path", path}, {"bytes", bytes.size() - frames.intact_size}});
  files_.Truncate(path, frames.intact_size);
  files_.Sync(path);
}

StoredState DiskStorage::TakeState() {
  loaded_.term = term_;
  loaded_.vote = vote_;
  return std::exchange(loaded_, {});
}

void DiskStorage::SetVote(std::uint64_t term, const std::string& vote) {
  term_ = term;
  vote_ = vote;
  dirty_ = true;
}

void DiskStorage::Append(const wire::LogEntry& entry) {
  *pending_.add_entries() = entry;
  dirty_ = true;
}

void DiskStorage::Sync() {
  if (!dirty_)
    return;
  pending_.set_sequence(++sequence_);
  pending_.set_term(term_);
  pending_.set_vote(vote_);
  files_.Append(Path(kLog), EncodeFrame(pending_.SerializeAsString()));
  files_.Sync(Path(kLog));
  pending_.Clear();
  dirty_ = false;
}

void DiskStorage::SaveSnapshot(const wire::SnapshotFile& snapshot,
                               const std::vector<wire::LogEntry>& retained) {
  // The snapshot is replaced first. If the process stops before the log is
  // replaced, the next start reads the new snapshot with the old log, which is
  // consistent as well.
  ReplaceFile(kSnapshot, EncodeFrame(snapshot.SerializeAsString()));
  RewriteLog(retained);
}

wire::SnapshotFile DiskStorage::ReadSnapshot() {
  const std::string path = Path(kSnapshot);
  const std::string bytes = files_.Read(path);
  const DecodedFrames frames = DecodeFrames(bytes, path);
  wire::SnapshotFile snapshot;
  if (frames.payloads.size() != 1 || frames.intact_size != bytes.size() ||
      !snapshot.ParseFromArray(frames.payloads[0].data(),
                               static_cast<int>(frames.payloads[0].size())))
    ThrowDamaged(path, "the snapshot is damaged");
  return snapshot;
}

void DiskStorage::RewriteLog(const std::vector<wire::LogEntry>& entries) {
  pending_.Clear();
  sequence_ = 1;
  pending_.set_sequence(sequence_);
  pending_.set_identity(identity_);
  pending_.set_lock_inode(lock_inode_);
  pending_.set_term(term_);
  pending_.set_vote(vote_);
  for (const wire::LogEntry& entry : entries)
    *pending_.add_entries() = entry;
  ReplaceFile(kLog, EncodeFrame(pending_.SerializeAsString()));
  pending_.Clear();
  dirty_ = false;
}

void DiskStorage::ReplaceFile(const std::string& name,
                              const std::string& content) {
  const std::string temporary = Path(name) + kTemporary;
  files_.Remove(temporary);
  files_.Append(temporary, content);
  files_.Sync(temporary);
  files_.Rename(temporary, Path(name));
  files_.SyncDirectory(directory_);
}

}  // namespace yuccastair::consensus
