// Reads and checks the settings of a relay.

#include "yuccastair/relay/settings.h"

namespace yuccastair::relay {

using std::chrono::milliseconds;

Settings ReadSettings(support::SettingsFile& file) {
  Settings settings;
  settings.id = file.RequireString("relay.id");
  settings.availability_zone = file.RequireString("relay.availability_zone");
  settings.service = file.RequireString("relay.service");
  settings.target = file.RequireAddress("relay.target");
  settings.caller_listen = file.RequireAddress("relay.caller_listen");
  settings.target_listen = file.RequireAddress("relay.target_listen");
  settings.ready_listen = file.RequireAddress("relay.ready_listen");
  settings.peer_listen = file.RequireAddress("relay.peer_listen");
  settings.metrics_listen = file.GetAddress("relay.metrics_listen");
  settings.seeds = file.GetAddresses("relay.seeds");
  support::SetPorts(settings.seeds,
                    file.GetInteger("relay.seed_peer_port", 0, 0, 65535));
  settings.shutdown_timeout =
      file.GetMilliseconds("relay.shutdown_timeout_ms", milliseconds(6000),
                           milliseconds(100), milliseconds(600000));
  settings.drain_time =
      file.GetMilliseconds("relay.drain_time_ms", milliseconds(2000),
                           milliseconds(0), milliseconds(600000));
  settings.crashes_to_block = static_cast<std::uint32_t>(
      file.GetInteger("relay.crashes_to_block", 3, 1, 16));
  return settings;
}

}  // namespace yuccastair::relay
