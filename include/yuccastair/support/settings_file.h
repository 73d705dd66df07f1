// Reads the TOML settings file of a process and collects every fault in it.

#ifndef YUCCASTAIR_SUPPORT_SETTINGS_FILE_H_
#define YUCCASTAIR_SUPPORT_SETTINGS_FILE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "yuccastair/support/address.h"

namespace yuccastair::support {

/// One fault of a settings file, with what is allowed in its place.
struct SettingsFault {
  std::string file;
  std::uint32_t line = 0;
  std::string key;
  std::string value;
  std::string allowed;

  std::string ToString() const;
};

/// Checked access to the keys of one TOML file.
///
/// Each getter records a fault and returns the default if the value is missing
/// (where required) or not allowed. FinishAndTakeFaults() adds a fault for each
/// key that no getter asked for, with the nearest known name.
class SettingsFile {
 public:
  /// Throws Error with step "read settings" if the file cannot be read or is
  /// not TOML.
  explicit SettingsFile(const std::string& path);
  ~SettingsFile();

  std::string RequireString(const std::string& key);
  std::string GetString(const std::string& key, const std::string& fallback);
  std::int64_t GetInteger(const std::string& key,
                          std::int64_t fallback,
                          std::int64_t min,
                          std::int64_t max);
  bool GetBoolean(const std::string& key, bool fallback);
  std::chrono::milliseconds GetMilliseconds(const std::string& key,
                                            std::chrono::milliseconds fallback,
                                            std::chrono::milliseconds min,
                                            std::chrono::milliseconds max);
  Address RequireAddress(const std::string& key);
  std::optional<Address> GetAddress(const std::string& key);
  std::vector<Address> GetAddresses(const std::string& key);

  std::vector<SettingsFault> FinishAndTakeFaults();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccastair::support

#endif  // YUCCASTAIR_SUPPORT_SETTINGS_FILE_H_
