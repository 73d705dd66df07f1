// The most that a fleet could have served, by the targets that were left.

#include <chrono>
#include <map>
#include <ostream>
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

/// The requests of one route in one second.
struct Moment {
  Ends ends;
  /// Services that the requests need and that had no target to use.
  Services missing;

  /// The most requests that could have been served. The true number may be
  /// lower, since a target that is left may not have room for all.
  std::uint64_t attainable() const {
    return missing.empty() ? ends.total() : ends.served;
  }
};

using Moments = std::map<std::pair<seconds, std::string>, Moment>;

/// Returns the services with a target that could be used, by second. A target
/// may have changed its state at any time in the second of its summary.
std::map<seconds, Services> UsableServices(const std::vector<Json>& lines) {
  std::map<seconds, Services> usable;
  for (const Json& line : lines) {
    if (!IsSummary(line))
      continue;
    const std::string group = GroupOf(line);
    if (group != "up" && group != "cold" && group != "retiring")
      continue;
    const auto second = std::chrono::duration_cast<seconds>(*TimeOf(line));
    usable[second].insert(line.value("service", ""));
    usable[second + seconds(1)].insert(line.value("service", ""));
  }
  return usable;
}

Moments MakeMoments(const std::vector<Json>& lines, const std::string& from) {
  const auto needs = NeedsOf(lines);
  auto usable = UsableServices(lines);
  Moments moments;
  for (const Json& line : lines) {
    if (!IsSummary(line))
      continue;
    const auto second = std::chrono::duration_cast<seconds>(*TimeOf(line));
    if (ClockTime(second) < from)
      continue;
    for (const Json& route : line.value("routes", Json::array())) {
      if (route.contains("called_by"))
        continue;
      const std::string name = route.value("route", "");
      Moment& moment = moments[{second, name}];
      moment.ends += EndsOf(route);
      for (const std::string& service : needs.at(name)) {
        if (!usable[second].contains(service))
          moment.missing.insert(service);
      }
    }
  }
  return moments;
}

std::vector<std::string> ToRow(const std::string& time,
                               const std::string& route,
                               const Services& missing,
                               const Ends& ends,
                               std::uint64_t attainable) {
  return {time,
          route,
          Join(missing),
          std::to_string(ends.total()),
          std::to_string(ends.served),
          std::to_string(attainable)};
}

}  // namespace

int RunAttainable(const Session& session) {
  const Moments moments = MakeMoments(ReadLogs(session.arguments.Get("log")),
                                      session.arguments.Get("from"));
  if (moments.empty()) {
    session.out() << "the logs hold no requests of callers\n";
    return kFailure;
  }
  std::vector<std::vector<std::string>> rows = {
      {"time", "route", "missing", "requests", "served", "attainable"}};
  Json list = Json::array();
  Ends all;
  std::uint64_t attainable = 0;
  for (const auto& [key, moment] : moments) {
    const std::string time = ClockTime(key.first);
    rows.push_back(ToRow(time, key.second, moment.missing, moment.ends,
                         moment.attainable()));
    list.push_back({{"time", time},
                    {"route", key.second},
                    {"missing", moment.missing},
                    {"requests", moment.ends.total()},
                    {"served", moment.ends.served},
                    {"attainable", moment.attainable()}});
    all += moment.ends;
    attainable += moment.attainable();
  }
  rows.push_back(ToRow("total", "-", {}, all, attainable));
  if (session.json())
    session.out() << list.dump() << '\n';
  else
    PrintTable(session.out(), rows);
  return kSuccess;
}

}  // namespace yuccastair::ctl
