// File operations through POSIX calls.

#include "yuccastair/consensus/file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>

#include "yuccastair/support/error.h"

namespace yuccastair::consensus {
namespace {

constexpr int kFileMode = 0640;

[[noreturn]] void ThrowErrno(const std::string& step, const std::string& path) {
  throw support::Error(step, "", path + ": " + std::strerror(errno));
}

}  // namespace

PosixFileSystem::~PosixFileSystem() {
  for (const auto& [path, descriptor] : open_descriptors_)
    close(descriptor);
  if (lock_descriptor_ >= 0)
    close(lock_descriptor_);
}

void PosixFileSystem::CreateDirectory(const std::string& path) {
  std::error_code error;
  const bool created = std::filesystem::create_directories(path, error);
  if (error)
    throw support::Error("create data directory", "",
                         path + ": " + error.message());
  if (created)
    SyncDirectory(path + "/..");
}

std::uint64_t PosixFileSystem::Lock(const std::string& path) {
  lock_descriptor_ =
      open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_descriptor_ < 0)
    ThrowErrno("lock data directory", path);
  if (flock(lock_descriptor_, LOCK_EX | LOCK_NB) != 0) {
    if (errno == EWOULDBLOCK)
      throw support::Error("lock data directory", "",
                           path + " is locked by another process");
    ThrowErrno("lock data directory", path);
  }
  struct stat status {};
  if (fstat(lock_descriptor_, &status) != 0)
    ThrowErrno("lock data directory", path);
  return status.st_ino;
}

bool PosixFileSystem::Exists(const std::string& path) {
  if (access(path.c_str(), F_OK) == 0)
    return true;
  if (errno != ENOENT)
    ThrowErrno("look up file", path);
  return false;
}

std::uint64_t PosixFileSystem::Size(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0)
    ThrowErrno("look up file", path);
  return static_cast<std::uint64_t>(status.st_size);
}

std::string PosixFileSystem::Read(const std::string& path,
                                  std::uint64_t offset,
                                  std::size_t size) {
  std::ifstream file(path, std::ios::binary);
  std::string content(size, '\0');
  file.seekg(static_cast<std::streamoff>(offset));
  file.read(content.data(), static_cast<std::streamsize>(size));
  if (file.bad() || !file.is_open())
    ThrowErrno("read file", path);
  content.resize(static_cast<std::size_t>(file.gcount()));
  return content;
}

int PosixFileSystem::WriteDescriptor(const std::string& path) {
  const auto found = open_descriptors_.find(path);
  if (found != open_descriptors_.end())
    return found->second;
  const int descriptor =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor < 0)
    ThrowErrno("open file", path);
  open_descriptors_[path] = descriptor;
  return descriptor;
}

void PosixFileSystem::CloseDescriptor(const std::string& path) {
  const auto found = open_descriptors_.find(path);
  if (found == open_descriptors_.end())
    return;
  close(found->second);
  open_descriptors_.erase(found);
}

void PosixFileSystem::Append(const std::string& path, const std::string& data) {
  const int descriptor = WriteDescriptor(path);
  std::size_t written = 0;
  while (written < data.size()) {
    const ssize_t count =
        write(descriptor, data.data() + written, data.size() - written);
    if (count < 0 && errno == EINTR)
      continue;
    if (count <= 0)
      ThrowErrno("write file", path);
    written += static_cast<std::size_t>(count);
  }
}

void PosixFileSystem::Sync(const std::string& path) {
  // fdatasync also writes the file size, which is all the metadata needed.
  if (fdatasync(WriteDescriptor(path)) != 0)
    ThrowErrno("sync file", path);
}

void PosixFileSystem::Truncate(const std::string& path, std::uint64_t size) {
  if (ftruncate(WriteDescriptor(path), static_cast<off_t>(size)) != 0)
    ThrowErrno("truncate file", path);
}

void PosixFileSystem::Rename(const std::string& from, const std::string& to) {
  CloseDescriptor(from);
  CloseDescriptor(to);
  if (rename(from.c_str(), to.c_str()) != 0)
    ThrowErrno("rename file", from);
}

void PosixFileSystem::SyncDirectory(const std::string& path) {
  const int descriptor = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0)
    ThrowErrno("open directory", path);
  const bool synced = fsync(descriptor) == 0;
  const int error = errno;
  close(descriptor);
  errno = error;
  if (!synced)
    ThrowErrno("sync directory", path);
}

void PosixFileSystem::Remove(const std::string& path) {
  CloseDescriptor(path);
  if (unlink(path.c_str()) != 0 && errno != ENOENT)
    ThrowErrno("remove file", path);
}

}  // namespace yuccastair::consensus
