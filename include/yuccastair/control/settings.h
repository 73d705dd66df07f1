// Settings of a control process, read from its TOML file.

#ifndef YUCCASTAIR_CONTROL_SETTINGS_H_
#define YUCCASTAIR_CONTROL_SETTINGS_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "yuccastair/support/address.h"
#include "yuccastair/support/settings_file.h"

namespace yuccastair::control {

struct Settings {
  std::string id;
  std::string availability_zone;
  /// Where nodes and other control processes connect.
  support::Address peer_listen;
  /// Where operators connect over HTTP.
  support::Address operator_listen;
  std::string data_dir;
  /// Peer addresses of all control processes, this one included.
  std::vector<support::Address> peers;
  /// Peer addresses of some control processes, in place of `peers` where the
  /// others are not known in advance.
  std::vector<support::Address> seeds;
  /// With `seeds`: whether this is the first start of the whole system, so that
  /// the seeds may form a cluster.
  bool form_cluster = false;
  /// Operator addresses of the same processes in the same order; may be empty.
  std::vector<support::Address> operator_peers;
  /// Where the routing policy is operated; not served without it.
  std::optional<support::Address> policy_listen;
  std::chrono::milliseconds member_expiry{};
  std::string curve_public_key;
  std::string curve_secret_key;
};

/// Reads the control part of a settings file; faults stay in \p file.
Settings ReadSettings(support::SettingsFile& file);

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_CONTROL_SETTINGS_H_
