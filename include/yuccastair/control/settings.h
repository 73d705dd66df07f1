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
  /// Listen address for nodes and other control processes.
  support::Address peer_listen;
  /// Listen address for operators' HTTP requests.
  support::Address operator_listen;
  std::string data_dir;
  /// Peer addresses of all control processes, this one included.
  std::vector<support::Address> peers;
  /// Peer addresses of some control processes. Replaces `peers` if the other
  /// addresses are not known in advance.
  std::vector<support::Address> seeds;
  /// With `seeds`: whether the seeds may form a new cluster. Set for the first
  /// start of the whole system only.
  bool form_cluster = false;
  /// Operator addresses of the processes in `peers`, in the same order; may be
  /// empty.
  std::vector<support::Address> operator_peers;
  /// Listen address for requests on the routing policy; not served if unset.
  std::optional<support::Address> policy_listen;
  /// Time after its last report at which a node is removed.
  std::chrono::milliseconds member_expiry{};
  std::string curve_public_key;
  std::string curve_secret_key;
};

/// Reads the control part of a settings file. Faults are recorded in \p file.
Settings ReadSettings(support::SettingsFile& file);

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_CONTROL_SETTINGS_H_
