// Counts the bytes that a relay exchanges with other processes of the system.

#ifndef YUCCASTAIR_LIB_RELAY_TRAFFIC_COUNTS_H_
#define YUCCASTAIR_LIB_RELAY_TRAFFIC_COUNTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "yuccastair/observe/metrics.h"

namespace yuccastair::relay {

/// Counts messages and bytes by their purpose and by whether they cross an
/// availability zone, because traffic between zones is charged. Bytes are those
/// of encoded messages between relays and control processes, and of bodies
/// between relays. Not thread-safe.
class TrafficCounts {
 public:
  TrafficCounts(observe::Metrics& metrics, std::string local_zone)
      : metrics_(metrics), local_zone_(std::move(local_zone)) {}

  /// Counts one message to or from \p zone, which is empty if unknown.
  void Record(const std::string& purpose,
              const std::string& zone,
              std::size_t bytes);

  /// Returns the counts since the last call as an object by purpose and zone,
  /// and resets them.
  nlohmann::json TakeJson();

 private:
  struct Count {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };

  observe::Metrics& metrics_;
  const std::string local_zone_;
  // By purpose and by "local", "other" or "unknown".
  std::map<std::pair<std::string, std::string>, Count> counts_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_TRAFFIC_COUNTS_H_
