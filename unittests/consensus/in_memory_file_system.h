// Files in memory that lose unsynced data in a crash and fail on request.

#ifndef YUCCASTAIR_UNITTESTS_CONSENSUS_IN_MEMORY_FILE_SYSTEM_H_
#define YUCCASTAIR_UNITTESTS_CONSENSUS_IN_MEMORY_FILE_SYSTEM_H_

#include <functional>
#include <map>
#include <random>
#include <string>

#include "yuccastair/consensus/file_system.h"
#include "yuccastair/support/error.h"

namespace yuccastair::consensus {

class InMemoryFileSystem final : public FileSystem {
 public:
  struct File {
    std::string data;
    std::string synced;
  };

  /// Called before each write, sync, truncation and rename with the operation
  /// and the path; may throw. A write that fails leaves half of its data.
  std::function<void(const std::string&, const std::string&)> before_operation;

  void CreateDirectory(const std::string&) override {}
  std::uint64_t Lock(const std::string& path) override {
    auto [it, added] = file_ids_.try_emplace(path, next_file_id_);
    if (added)
      files_[next_file_id_++];
    return static_cast<std::uint64_t>(it->second);
  }
  bool Exists(const std::string& path) override {
    return file_ids_.count(path);
  }
  std::uint64_t Size(const std::string& path) override {
    return At(path).data.size();
  }
  std::string Read(const std::string& path,
                   std::uint64_t offset,
                   std::size_t size) override {
    const std::string& data = At(path).data;
    return data.substr(std::min<std::size_t>(offset, data.size()), size);
  }
  void Append(const std::string& path, const std::string& data) override {
    if (file_ids_.try_emplace(path, next_file_id_).second)
      ++next_file_id_;
    File& file = files_[file_ids_[path]];
    try {
      CallBeforeOperation("write", path);
    } catch (...) {
      file.data += data.substr(0, data.size() / 2);
      throw;
    }
    file.data += data;
  }
  void Sync(const std::string& path) override {
    CallBeforeOperation("sync", path);
    File& file = At(path);
    file.synced = file.data;
  }
  void Truncate(const std::string& path, std::uint64_t size) override {
    CallBeforeOperation("truncate", path);
    At(path).data.resize(size);
  }
  void Rename(const std::string& from, const std::string& to) override {
    CallBeforeOperation("rename", from);
    file_ids_[to] = file_ids_.at(from);
    file_ids_.erase(from);
  }
  void SyncDirectory(const std::string& path) override {
    CallBeforeOperation("sync directory", path);
    durable_file_ids_ = file_ids_;
  }
  void Remove(const std::string& path) override { file_ids_.erase(path); }

  File& At(const std::string& path) { return files_.at(file_ids_.at(path)); }

  /// Loses unsynced state: any part of the unsynced data at the end of a file,
  /// and possibly all name changes since the last directory sync.
  void Crash(std::mt19937_64& random) {
    if (random() % 2 == 0)
      file_ids_ = durable_file_ids_;
    for (auto& [id, file] : files_) {
      const std::size_t unsynced =
          file.data.size() - std::min(file.data.size(), file.synced.size());
      const std::string tail = file.data.substr(file.data.size() - unsynced);
      file.data = file.synced + tail.substr(0, random() % (unsynced + 1));
      if (file.data.size() > file.synced.size() && random() % 2 == 0)
        file.data.back() = static_cast<char>(~file.data.back());
      file.synced = file.data;
    }
    durable_file_ids_ = file_ids_;
  }

 private:
  void CallBeforeOperation(const std::string& operation,
                           const std::string& path) {
    if (before_operation)
      before_operation(operation, path);
  }

  int next_file_id_ = 1;
  std::map<std::string, int> file_ids_;
  std::map<std::string, int> durable_file_ids_;
  std::map<int, File> files_;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_UNITTESTS_CONSENSUS_IN_MEMORY_FILE_SYSTEM_H_
