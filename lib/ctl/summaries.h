// What the summary lines of relays say of targets and requests.

#ifndef YUCCASTAIR_LIB_CTL_SUMMARIES_H_
#define YUCCASTAIR_LIB_CTL_SUMMARIES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace yuccastair::ctl {

using Services = std::set<std::string>;

/// How requests have ended.
struct Ends {
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;

  std::uint64_t total() const { return served + refused + failed; }
  Ends& operator+=(const Ends& other) {
    served += other.served;
    refused += other.refused;
    failed += other.failed;
    return *this;
  }
};

/// Returns whether \p line is the summary that a relay writes each second.
bool IsSummary(const nlohmann::json& line);

/// Returns what may be done with the target of a summary: "up", "cold",
/// "retiring", "out", "leaving" or "down".
std::string GroupOf(const nlohmann::json& summary);

/// Returns how the requests of an entry of a summary's routes have ended.
Ends EndsOf(const nlohmann::json& route);

/// Returns for each route the services that its requests need: its own, and
/// those of the calls that are made for it, directly or further down.
std::map<std::string, Services> NeedsOf(
    const std::vector<nlohmann::json>& lines);

/// Returns the time of day, such as "05:52:23", of a time since the Unix epoch.
std::string ClockTime(std::chrono::seconds second);

/// Returns the names separated by spaces, or "-" if there are none.
std::string Join(const std::set<std::string>& names);

}  // namespace yuccastair::ctl

#endif  // YUCCASTAIR_LIB_CTL_SUMMARIES_H_
