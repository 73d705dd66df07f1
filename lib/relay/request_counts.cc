// Classifies completed requests by the response to their callers.

#include "request_counts.h"

#include <utility>

namespace yuccastair::relay {

void RequestCounts::RecordRequest(const RelayCall& call,
                                  unsigned status,
                                  bool from_target,
                                  const std::string& parent_route) {
  OutcomeCounts& counts = counts_[{call.route, call.service, parent_route}];
  if (status == 0)
    ++counts.cancelled;
  else if (from_target && status < 500)
    ++counts.served;
  else if (!from_target && (status < 500 || status == 503))
    ++counts.rejected;
  else
    ++counts.failed;
}

nlohmann::json RequestCounts::TakeJson() {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [key, counts] : std::exchange(counts_, {})) {
    const auto& [route, service, parent_route] = key;
    nlohmann::json entry = {{"route", route}, {"service", service}};
    if (!parent_route.empty())
      entry["called_by"] = parent_route;
    // Omits zeros: most counts are 0, and a line is written every second.
    for (const auto& [name, count] : {std::pair{"served", counts.served},
                                      {"refused", counts.rejected},
                                      {"failed", counts.failed},
                                      {"left", counts.cancelled}}) {
      if (count > 0)
        entry[name] = count;
    }
    list.push_back(std::move(entry));
  }
  return list;
}

}  // namespace yuccastair::relay
