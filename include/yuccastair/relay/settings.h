// Settings of a relay process, read from its TOML file.

#ifndef YUCCASTAIR_RELAY_SETTINGS_H_
#define YUCCASTAIR_RELAY_SETTINGS_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "yuccastair/support/address.h"
#include "yuccastair/support/settings_file.h"

namespace yuccastair::relay {

struct Settings {
  std::string id;
  std::string availability_zone;
  /// Service of the own target, on whose behalf local requests are made.
  std::string service;
  /// Address of the own target.
  support::Address target;
  /// Where callers on this instance and the own target send their requests.
  support::Address caller_listen;
  /// Where the own target announces itself.
  support::Address target_listen;
  support::Address ready_listen;
  /// Where other relays send requests for the own target.
  support::Address peer_listen;
  /// Where the metrics are shown as text; not served without it.
  std::optional<support::Address> metrics_listen;
  /// Peer addresses of some control processes.
  std::vector<support::Address> seeds;
  /// Answers a stop request with exit within this time.
  std::chrono::milliseconds shutdown_timeout{};
  /// Time for which a draining target may still be sent requests.
  std::chrono::milliseconds drain_time{};
};

/// Reads the relay's part of a settings file; faults stay in \p file.
Settings ReadSettings(support::SettingsFile& file);

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_RELAY_SETTINGS_H_
