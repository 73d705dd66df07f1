// Reads and checks the settings of a node process.

#include "yuccastair/node/settings.h"

namespace yuccastair::node {

using std::chrono::milliseconds;

Settings ReadSettings(support::SettingsFile& file) {
  Settings settings;
  settings.id = file.RequireString("node.id");
  settings.availability_zone = file.RequireString("node.availability_zone");
  settings.caller_listen = file.RequireAddress("node.listen");
  settings.target_listen = file.RequireAddress("node.target_listen");
  settings.peer_listen = file.RequireAddress("node.peer_listen");
  settings.control_addresses = file.GetAddresses("node.controls");
  settings.key_header = file.GetString("node.key_header", "x-yuccastair-key");
  settings.max_in_flight = static_cast<std::size_t>(
      file.GetInteger("node.max_in_flight", 512, 1, 4096));
  settings.max_body_bytes = static_cast<std::size_t>(
      file.GetInteger("node.max_body_bytes", 1 << 20, 0, 64 << 20));
  settings.target_workers = static_cast<std::size_t>(
      file.GetInteger("node.target_workers", 256, 1, 2048));
  settings.sync_interval =
      file.GetMilliseconds("node.sync_interval_ms", milliseconds(500),
                           milliseconds(50), milliseconds(2000));
  settings.shutdown_timeout =
      file.GetMilliseconds("node.shutdown_timeout_ms", milliseconds(10000),
                           milliseconds(0), milliseconds(600000));
  settings.trace_file = file.GetString("trace.file", "");
  settings.trace_sample_one_in = static_cast<std::uint32_t>(
      file.GetInteger("trace.sample_one_in", 1000, 0, 1000000000));
  settings.curve_public_key = file.GetString("curve.public_key", "");
  settings.curve_secret_key = file.GetString("curve.secret_key", "");
  return settings;
}

}  // namespace yuccastair::node
