// A folder for the files of one test, removed at its end.

#ifndef YUCCASTAIR_UNITTESTS_TEMPORARY_DIR_H_
#define YUCCASTAIR_UNITTESTS_TEMPORARY_DIR_H_

#include <stdlib.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace yuccastair {

/// A folder that is removed with the object, unless YUCCASTAIR_KEEP_FILES is
/// set, for instance to read the logs of the processes of a failed test.
class TemporaryDir {
 public:
  TemporaryDir() {
    // mkdtemp replaces the last six characters.
    std::string name = (std::filesystem::temp_directory_path() /
                        ("yuccastair-" + std::string(6, 'X')))
                           .string();
    path_ = mkdtemp(name.data());
  }
  ~TemporaryDir() {
    if (std::getenv("YUCCASTAIR_KEEP_FILES") != nullptr)
      return;
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDir(const TemporaryDir&) = delete;
  TemporaryDir& operator=(const TemporaryDir&) = delete;

  const std::filesystem::path& path() const { return path_; }

  /// Writes a file in the folder and returns its path.
  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ / name) << text;
    return (path_ / name).string();
  }

 private:
  std::filesystem::path path_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_TEMPORARY_DIR_H_
