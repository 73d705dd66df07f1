// The course of each service second by second, by the summary lines of relays.

#include <chrono>
#include <cstdint>
#include <ctime>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "command.h"
#include "log_lines.h"

namespace yuccastair::ctl {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

struct Ends {
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
};

/// One service in one second.
struct Moment {
  /// Targets by what may be done with them, in the order of kGroups.
  std::map<std::string, std::set<std::string>> targets;
  /// Requests of callers that need the service.
  Ends ends;
};

using Services = std::set<std::string>;
using Timeline = std::map<std::pair<seconds, std::string>, Moment>;

constexpr const char* kGroups[] = {"up", "cold", "out", "leaving", "down"};

std::string GroupOf(const Json& summary) {
  const std::string state = summary.value("target_state", "");
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

/// Returns for each route the services that its requests need: its own, and
/// those of the calls that are made for it, directly or further down.
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

void Add(const Json& route, Ends& ends) {
  ends.served += route.value("served", std::uint64_t{0});
  ends.refused += route.value("refused", std::uint64_t{0});
  ends.failed += route.value("failed", std::uint64_t{0});
}

Timeline MakeTimeline(const std::vector<Json>& lines) {
  auto needs = NeedsOf(lines);
  Timeline timeline;
  for (const Json& line : lines) {
    if (!IsSummary(line))
      continue;
    const auto second = std::chrono::duration_cast<seconds>(*TimeOf(line));
    timeline[{second, line.value("service", "")}].targets[GroupOf(line)].insert(
        line.value("instance", "") + "/" + line.value("availability_zone", ""));
    for (const Json& route : line.value("routes", Json::array())) {
      if (route.contains("called_by"))
        continue;
      for (const std::string& service : needs[route.value("route", "")])
        Add(route, timeline[{second, service}].ends);
    }
  }
  return timeline;
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

Json ToJson(const Timeline& timeline) {
  Json rows = Json::array();
  for (const auto& [key, moment] : timeline) {
    Json row = {{"time", ClockTime(key.first)},
                {"service", key.second},
                {"served", moment.ends.served},
                {"refused", moment.ends.refused},
                {"failed", moment.ends.failed}};
    for (const auto& [group, targets] : moment.targets)
      row[group] = targets;
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<std::vector<std::string>> ToRows(const Timeline& timeline) {
  std::vector<std::vector<std::string>> rows = {{"time", "service"}};
  for (const char* column : kGroups)
    rows[0].emplace_back(column);
  for (const char* column : {"served", "refused", "failed"})
    rows[0].emplace_back(column);
  for (const auto& [key, moment] : timeline) {
    std::vector<std::string> row = {ClockTime(key.first), key.second};
    for (const char* group : kGroups) {
      const auto found = moment.targets.find(group);
      row.push_back(
          Join(found == moment.targets.end() ? Services() : found->second));
    }
    for (const std::uint64_t count :
         {moment.ends.served, moment.ends.refused, moment.ends.failed})
      row.push_back(std::to_string(count));
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace

int RunTimeline(const Session& session) {
  Timeline timeline = MakeTimeline(ReadLogs(session.arguments.Get("log")));
  const std::string service = session.arguments.Get("service");
  if (!service.empty())
    std::erase_if(timeline, [&](const auto& entry) {
      return entry.first.second != service;
    });
  if (timeline.empty()) {
    session.out() << (service.empty()
                          ? "the logs hold no summary of a relay\n"
                          : "no summary names the service " + service + "\n");
    return kFailure;
  }
  if (session.json())
    session.out() << ToJson(timeline).dump() << '\n';
  else
    PrintTable(session.out(), ToRows(timeline));
  return kSuccess;
}

}  // namespace yuccastair::ctl
