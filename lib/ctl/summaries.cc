// Reads the summary lines of relays.

#include "summaries.h"

#include <ctime>

namespace yuccastair::ctl {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

}  // namespace

std::string GroupOf(const Json& summary) {
  const std::string state = summary.value("target_state", "");
  if (state == "TARGET_STATE_RETIRING")
    return "retiring";
  const bool up = state == "TARGET_STATE_UP";
  const bool cold = state == "TARGET_STATE_COLD";
  if ((up || cold) && summary.value("zone_out", false))
    return "out";
  if (up)
    return "up";
  if (cold)
    return "cold";
  return state == "TARGET_STATE_DOWN" ? "down" : "leaving";
}

bool IsSummary(const Json& line) {
  return line.value("event", "") == "relay.summary";
}

std::map<std::string, Services> NeedsOf(const std::vector<Json>& lines) {
  std::map<std::string, Services> needs;
  // Routes of the calls that the requests of a route make.
  std::map<std::string, std::set<std::string>> calls;
  for (const Json& line : lines) {
    if (!IsSummary(line))
      continue;
    for (const Json& route : line.value("routes", Json::array())) {
      const std::string name = route.value("route", "");
      needs[name].insert(route.value("service", ""));
      calls[route.value("called_by", "")].insert(name);
    }
  }
  bool grown = true;
  while (grown) {
    grown = false;
    for (auto& [route, services] : needs) {
      const std::size_t before = services.size();
      for (const std::string& called : calls[route]) {
        const Services further = needs[called];
        services.insert(further.begin(), further.end());
      }
      grown |= services.size() > before;
    }
  }
  return needs;
}

Ends EndsOf(const Json& route) {
  return {route.value("served", std::uint64_t{0}),
          route.value("refused", std::uint64_t{0}),
          route.value("failed", std::uint64_t{0})};
}

std::string ClockTime(seconds second) {
  const auto since_epoch = static_cast<std::time_t>(second.count());
  std::tm parts{};
  gmtime_r(&since_epoch, &parts);
  char text[32];
  return {text, std::strftime(text, sizeof text, "%H:%M:%S", &parts)};
}

std::string Join(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names)
    text += (text.empty() ? "" : " ") + name;
  return text.empty() ? "-" : text;
}

}  // namespace yuccastair::ctl
