// Classifies completed requests by the response to their callers.

#include "request_counts.h"

#include <utility>

namespace yuccastair::relay {

void RequestCounts::Count(const RelayCall& call,
                          unsigned status,
                          bool by_target,
                          const std::string& called_by) {
  Counts& counts = counts_[{call.route, call.service, called_by}];
  if (status == 0)
    ++counts.left;
  else if (by_target && status < 500)
    ++counts.served;
  else if (!by_target && (status < 500 || status == 503))
    ++counts.refused;
  else
    ++counts.failed;
}

nlohmann::json RequestCounts::Take() {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [key, counts] : std::exchange(counts_, {})) {
    const auto& [route, service, called_by] = key;
    nlohmann::json entry = {{"route", route}, {"service", service}};
    if (!called_by.empty())
      entry["called_by"] = called_by;
    // Omits zeros: most counts are 0, and a line is written every second.
    for (const auto& [name, count] : {std::pair{"served", counts.served},
                                      {"refused", counts.refused},
                                      {"failed", counts.failed},
                                      {"left", counts.left}}) {
      if (count > 0)
        entry[name] = count;
    }
    list.push_back(std::move(entry));
  }
  return list;
}

}  // namespace yuccastair::relay
