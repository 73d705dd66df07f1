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
  /// Listens for callers.
  support::Address caller_listen;
  /// Listens for the local target, which announces itself and calls other
  /// services here.
  support::Address target_listen;
  /// Listens for other nodes.
  support::Address peer_listen;
  /// Peer addresses of the control processes.
  std::vector<support::Address> control_addresses;
  std::string key_header;
  std::size_t max_in_flight = 0;
  std::size_t max_body_bytes = 0;
  std::size_t target_workers = 0;
  std::chrono::milliseconds sync_interval{};
  std::chrono::milliseconds shutdown_timeout{};
  /// File to which spans are exported; empty to export none.
  std::string trace_file;
  /// Samples one in this many requests that carry no trace context; 0 samples
  /// none of them.
  std::uint32_t trace_sample_one_in = 0;
  std::string curve_public_key;
  std::string curve_secret_key;
};

/// Reads the node's part of a settings file. Errors are collected in \p file.
Settings ReadSettings(support::SettingsFile& file);

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_NODE_SETTINGS_H_
