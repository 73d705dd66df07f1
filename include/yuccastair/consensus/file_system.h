// The file operations of the disk storage. Tests inject failures through them.

#ifndef YUCCASTAIR_CONSENSUS_FILE_SYSTEM_H_
#define YUCCASTAIR_CONSENSUS_FILE_SYSTEM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace yuccastair::consensus {

/// File operations by path. Each throws support::Error on failure.
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  virtual void CreateDirectory(const std::string& path) = 0;
  /// Creates and locks a file until the object is destroyed; returns its inode
  /// number. Fails if another process holds the lock.
  virtual std::uint64_t Lock(const std::string& path) = 0;
  virtual bool Exists(const std::string& path) = 0;
  virtual std::uint64_t Size(const std::string& path) = 0;
  /// Returns \p size bytes from \p offset on, or fewer at the end of the file.
  virtual std::string Read(const std::string& path,
                           std::uint64_t offset,
                           std::size_t size) = 0;
  /// Appends \p data to a file, which is created if missing.
  virtual void Append(const std::string& path, const std::string& data) = 0;
  virtual void Sync(const std::string& path) = 0;
  virtual void Truncate(const std::string& path, std::uint64_t size) = 0;
  virtual void Rename(const std::string& from, const std::string& to) = 0;
  virtual void SyncDirectory(const std::string& path) = 0;
  virtual void Remove(const std::string& path) = 0;
};

/// The file system of the instance, accessed through POSIX calls.
class PosixFileSystem final : public FileSystem {
 public:
  PosixFileSystem() = default;
  ~PosixFileSystem() override;
  PosixFileSystem(const PosixFileSystem&) = delete;
  PosixFileSystem& operator=(const PosixFileSystem&) = delete;

  void CreateDirectory(const std::string& path) override;
  std::uint64_t Lock(const std::string& path) override;
  bool Exists(const std::string& path) override;
  std::uint64_t Size(const std::string& path) override;
  std::string Read(const std::string& path,
                   std::uint64_t offset,
                   std::size_t size) override;
  void Append(const std::string& path, const std::string& data) override;
  void Sync(const std::string& path) override;
  void Truncate(const std::string& path, std::uint64_t size) override;
  void Rename(const std::string& from, const std::string& to) override;
  void SyncDirectory(const std::string& path) override;
  void Remove(const std::string& path) override;

 private:
  int WriteDescriptor(const std::string& path);
  void CloseDescriptor(const std::string& path);

  // Descriptors of the files opened for writing, by path. A file is written and
  // synced through the same descriptor, so that a sync reports the errors of
  // earlier writes.
  std::map<std::string, int> open_descriptors_;
  int lock_descriptor_ = -1;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_CONSENSUS_FILE_SYSTEM_H_
