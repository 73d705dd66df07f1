// Reads and checks the settings of a control process.

#include "yuccastair/control/settings.h"

namespace yuccastair::control {

using std::chrono::milliseconds;

Settings ReadSettings(support::SettingsFile& file) {
  Settings settings;
  settings.id = file.RequireString("control.id");
  settings.availability_zone = file.RequireString("control.availability_zone");
  settings.peer_listen = file.RequireAddress("control.peer_listen");
  settings.operator_listen = file.RequireAddress("control.operator_listen");
  settings.policy_listen = file.GetAddress("control.policy_listen");
  settings.data_dir = file.RequireString("control.data_dir");
  settings.peers = file.GetAddresses("control.peers");
  settings.seeds = file.GetAddresses("control.seeds");
  support::SetPorts(settings.seeds,
                    file.GetInteger("control.seed_peer_port", 0, 0, 65535));
  settings.form_cluster = file.GetBoolean("control.form_cluster", false);
  settings.operator_peers = file.GetAddresses("control.operator_peers");
  settings.member_expiry =
      file.GetMilliseconds("control.member_expiry_ms", milliseconds(3000),
                           milliseconds(500), milliseconds(60000));
  settings.curve_public_key = file.GetString("curve.public_key", "");
  settings.curve_secret_key = file.GetString("curve.secret_key", "");
  return settings;
}

}  // namespace yuccastair::control
