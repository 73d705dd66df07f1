// Counts traffic by purpose and zone.

#include "traffic_counts.h"

namespace yuccastair::relay {

void TrafficCounts::Record(const std::string& purpose,
                           const std::string& zone,
                           std::size_t bytes) {
  const std::string place = zone.empty()          ? "unknown"
                            : zone == local_zone_ ? "local"
                                                  : "other";
  Count& count = counts_[{purpose, place}];
  ++count.messages;
  count.bytes += bytes;
}

nlohmann::json TrafficCounts::TakeJson() {
  nlohmann::json traffic = nlohmann::json::object();
  for (const auto& [key, count] : std::exchange(counts_, {})) {
    const auto& [purpose, place] = key;
    traffic[purpose][place] = {{"messages", count.messages},
                               {"bytes", count.bytes}};
    metrics_.Count("yuccastair_relay_messages_total",
                   {{"purpose", purpose}, {"zone", place}},
                   static_cast<double>(count.messages));
    metrics_.Count("yuccastair_relay_bytes_total",
                   {{"purpose", purpose}, {"zone", place}},
                   static_cast<double>(count.bytes));
  }
  return traffic;
}

}  // namespace yuccastair::relay
