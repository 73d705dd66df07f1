// Settings of a node process, read from its TOML file.

#ifndef YUCCASTAIR_NODE_SETTINGS_H_
#define YUCCASTAIR_NODE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "yuccastair/support/address.h"
#include "yuccastair/support/settings_file.h"

namespace yuccastair::node {

struct Settings {
  std::string id;
  std::string availability_zone;
  /// Where callers connect.
  support::Address listen;
  /// Where the own target announces itself and calls other services.
  support::Address target_listen;
  /// Where other nodes connect.
  support::Address peer_listen;
  /// Peer addresses of the control processes.
  std::vector<support::Address> controls;
  std::string key_header;
  std::size_t max_in_flight = 0;
  std::size_t max_body_bytes = 0;
  std::size_t target_workers = 0;
  std::chrono::milliseconds sync_interval{};
  std::chrono::milliseconds shutdown_timeout{};
  /// Empty for no spans.
  std::string trace_file;
  /// One in this many requests that bring no trace context; 0 for none.
  std::uint32_t trace_sample_one_in = 0;
  std::string curve_public_key;
  std::string curve_secret_key;
};

/// Reads the node's part of a settings file; faults stay in \p file.
Settings ReadSettings(support::SettingsFile& file);

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_NODE_SETTINGS_H_
