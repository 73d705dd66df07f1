// Files in memory that lose unsynced data in a crash and fail on request.

#ifndef YUCCASTAIR_UNITTESTS_CONSENSUS_MEMORY_FILES_H_
#define YUCCASTAIR_UNITTESTS_CONSENSUS_MEMORY_FILES_H_

#include <functional>
#include <map>
#include <random>
#include <string>

#include "yuccastair/consensus/files.h"
#include "yuccastair/support/error.h"

namespace yuccastair::consensus {

class MemoryFiles final : public Files {
 public:
  struct File {
    std::string data;
    std::string synced;
  };

  /// Called before each write, sync, truncation and rename with the operation
  /// and the path; may throw. A write that fails leaves half of its data.
  std::function<void(const std::string&, const std::string&)> before;

  void CreateDirectory(const std::string&) override {}
  std::uint64_t Lock(const std::string& path) override {
    auto [it, added] = names_.try_emplace(path, next_file_);
    if (added)
      files_[next_file_++];
    return static_cast<std::uint64_t>(it->second);
  }
  bool Exists(const std::string& path) override { return names_.count(path); }
  std::string Read(const std::string& path) override { return At(path).data; }
  void Append(const std::string& path, const std::string& data) override {
    if (names_.try_emplace(path, next_file_).second)
      ++next_file_;
    File& file = files_[names_[path]];
    try {
      Before("write", path);
    } catch (...) {
      file.data += data.substr(0, data.size() / 2);
      throw;
    }
    file.data += data;
  }
  void Sync(const std::string& path) override {
    Before("sync", path);
    File& file = At(path);
    file.synced = file.data;
  }
  void Truncate(const std::string& path, std::uint64_t size) override {
    Before("truncate", path);
    At(path).data.resize(size);
  }
  void Rename(const std::string& from, const std::string& to) override {
    Before("rename", from);
    names_[to] = names_.at(from);
    names_.erase(from);
  }
  void SyncDirectory(const std::string& path) override {
    Before("sync directory", path);
    durable_names_ = names_;
  }
  void Remove(const std::string& path) override { names_.erase(path); }

  File& At(const std::string& path) { return files_.at(names_.at(path)); }

  /// Loses unsynced state: any part of the unsynced data at the end of a file,
  /// and possibly all name changes since the last directory sync.
  void Crash(std::mt19937_64& random) {
    if (random() % 2 == 0)
      names_ = durable_names_;
    for (auto& [id, file] : files_) {
      const std::size_t unsynced =
          file.data.size() - std::min(file.data.size(), file.synced.size());
      const std::string tail = file.data.substr(file.data.size() - unsynced);
      file.data = file.synced + tail.substr(0, random() % (unsynced + 1));
      if (file.data.size() > file.synced.size() && random() % 2 == 0)
        file.data.back() = static_cast<char>(~file.data.back());
      file.synced = file.data;
    }
    durable_names_ = names_;
  }

 private:
  void Before(const std::string& operation, const std::string& path) {
    if (before)
      before(operation, path);
  }

  int next_file_ = 1;
  std::map<std::string, int> names_;
  std::map<std::string, int> durable_names_;
  std::map<int, File> files_;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_UNITTESTS_CONSENSUS_MEMORY_FILES_H_
