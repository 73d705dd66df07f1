// Settings of a relay process, read from its TOML file.

#ifndef YUCCASTAIR_RELAY_SETTINGS_H_
#define YUCCASTAIR_RELAY_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "yuccastair/support/address.h"
#include "yuccastair/support/settings_file.h"

namespace yuccastair::relay {

struct Settings {
  std::string id;
  std::string availability_zone;
  /// Service of the local target; local requests are sent on its behalf.
  std::string service;
  /// Address of the local target.
  support::Address target;
  /// Address to which callers on this instance and the local target send
  /// requests.
  support::Address caller_listen;
  /// Address to which the local target sends its announcements.
  support::Address target_listen;
  support::Address ready_listen;
  /// Address to which other relays send requests for the local target.
  support::Address peer_listen;
  /// Address that serves metrics as text; metrics are not served if unset.
  std::optional<support::Address> metrics_listen;
  /// Peer addresses of control processes for the first connection.
  std::vector<support::Address> seeds;
  /// Maximum time from a stop signal to the exit of the process.
  std::chrono::milliseconds shutdown_timeout{};
  /// Time for which a draining target still accepts requests.
  std::chrono::milliseconds drain_time{};
  /// Number of target processes that a request must have ended to be refused.
  std::uint32_t crashes_to_block = 0;
};

/// Reads the relay's section of a settings file; errors are recorded in \p
/// file.
Settings ReadSettings(support::SettingsFile& file);

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_RELAY_SETTINGS_H_
