// The course of each service second by second, by the summary lines of relays.

#include <chrono>
#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "command.h"
#include "log_lines.h"
#include "summaries.h"

namespace yuccastair::ctl {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

/// One service in one second.
struct Moment {
  /// Targets by what may be done with them, in the order of kGroups.
  std::map<std::string, std::set<std::string>> targets;
  /// Requests of callers that need the service.
  Ends ends;
};

using Timeline = std::map<std::pair<seconds, std::string>, Moment>;

constexpr const char* kGroups[] = {"up",  "cold",    "retiring",
                                   "out", "leaving", "down"};

Timeline MakeTimeline(const std::vector<Json>& lines) {
  const auto needs = NeedsOf(lines);
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
      for (const std::string& service : needs.at(route.value("route", "")))
        timeline[{second, service}].ends += EndsOf(route);
    }
  }
  return timeline;
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
