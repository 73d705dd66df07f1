// Commands that only read.

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <ostream>
#include <thread>

#include "command.h"

namespace yuccastair::ctl {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kFollowInterval{500};

std::string Text(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string FormatTime(std::int64_t at_ms) {
  const auto seconds = static_cast<std::time_t>(at_ms / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const std::size_t size =
      std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {text, size};
}

/// Prints the members of each entry of one kind as a table.
int List(const Session& session,
         const std::string& prefix,
         const std::string& kind,
         const std::vector<std::string>& members) {
  Json body = session.Read("/v1/entries?prefix=" + prefix);
  Json matching = Json::array();
  for (const Json& entry : body["entries"]) {
    if (entry.value("kind", "") == kind)
      matching.push_back(entry);
  }
  if (session.json()) {
    body["entries"] = matching;
    session.out() << body.dump() << '\n';
    return kSuccess;
  }
  std::vector<std::vector<std::string>> rows = {members};
  for (const Json& entry : matching) {
    std::vector<std::string>& row = rows.emplace_back();
    for (const std::string& member : members) {
      const std::string text = Text(entry.value(member, Json("")));
      row.push_back(text.empty() ? "any" : text);
    }
  }
  PrintTable(session.out(), rows);
  return kSuccess;
}

void PrintRecord(std::ostream& out, const Json& record) {
  out << "version " << record.value("version", 0) << "  "
      << FormatTime(record.value("at_ms", std::int64_t{0})) << "  "
      << record.value("author", "");
  if (const std::string comment = record.value("comment", ""); !comment.empty())
    out << "  " << comment;
  out << '\n';
  PrintChanges(out, record.value("changes", Json::array()));
}

int GetEffective(const Session& session, const std::string& scope) {
  wire::SettingsLevel level{};
  std::string name;
  ParseScope(scope, level, name);
  const Json body =
      session.Read("/v1/effective?level=" + scope.substr(0, scope.find('/')) +
                   "&name=" + name);
  if (session.json()) {
    session.out() << body.dump() << '\n';
    return kSuccess;
  }
  std::vector<std::vector<std::string>> rows = {
      {"key", "value", "unit", "from"}};
  for (const Json& value : body["values"])
    rows.push_back({value.value("key", ""), value.value("value", ""),
                    value.value("unit", ""), value.value("source", "")});
  PrintTable(session.out(), rows);
  return kSuccess;
}

}  // namespace

void PrintTable(std::ostream& out,
                const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] + 2 - row[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

int RunGet(const Session& session) {
  const auto& words = session.arguments.words;
  if (session.arguments.Has("effective"))
    return GetEffective(session, words.empty() ? "fleet" : words[0]);
  std::string prefix;
  if (!words.empty()) {
    wire::SettingsLevel level{};
    std::string name;
    ParseScope(words[0], level, name);
    prefix = words[0] + "/";
  }
  Json body = session.Read("/v1/entries?prefix=" + prefix);
  Json settings = Json::array();
  for (const Json& entry : body["entries"]) {
    if (entry.value("kind", "") == "setting")
      settings.push_back(entry);
  }
  if (session.json()) {
    body["entries"] = settings;
    session.out() << body.dump() << '\n';
    return kSuccess;
  }
  std::vector<std::vector<std::string>> rows = {{"level", "key", "value"}};
  for (const Json& entry : settings) {
    const std::string name = entry.value("name", "");
    rows.push_back({entry.value("level", "") + (name.empty() ? "" : "/") + name,
                    entry.value("key", ""), Text(entry["value"])});
  }
  PrintTable(session.out(), rows);
  return kSuccess;
}

int RunDiff(const Session& session) {
  const auto& words = session.arguments.words;
  std::string path =
      "/v1/diff?from=" + std::to_string(ParseNumber(words[0], "FROM"));
  if (words.size() > 1)
    path += "&to=" + std::to_string(ParseNumber(words[1], "TO"));
  const Json body = session.Read(path);
  if (session.json())
    session.out() << body.dump() << '\n';
  else
    PrintChanges(session.out(), body["changes"]);
  return kSuccess;
}

int RunHistory(const Session& session) {
  const std::uint64_t limit =
      ParseNumber(session.arguments.Get("limit", "20"), "--limit");
  const Json body = session.Read("/v1/history?limit=" + std::to_string(limit));
  if (session.json()) {
    session.out() << body.dump() << '\n';
    return kSuccess;
  }
  for (const Json& record : body["changes"])
    PrintRecord(session.out(), record);
  return kSuccess;
}

int RunEvents(const Session& session) {
  std::uint64_t since =
      ParseNumber(session.arguments.Get("since", "0"), "--since");
  while (true) {
    const Json body = session.Read("/v1/events?since=" + std::to_string(since));
    for (const Json& event : body["events"]) {
      since = std::max(since, event.value("number", std::uint64_t{0}));
      if (session.json())
        session.out() << event.dump() << '\n';
      else
        session.out() << event.value("number", 0) << "  "
                      << FormatTime(event.value("at_unix_ms", std::int64_t{0}))
                      << "  " << event.value("name", "") << "  "
                      << event.value("fields", Json::object()).dump() << "  "
                      << event.value("rule", "") << '\n';
    }
    session.out().flush();
    if (!session.arguments.Has("follow") || !session.out().good())
      return kSuccess;
    std::this_thread::sleep_for(kFollowInterval);
  }
}

int RunStatus(const Session& session) {
  const Json body = session.Read("/v1/status");
  if (session.json()) {
    session.out() << body.dump() << '\n';
    return kSuccess;
  }
  std::vector<std::vector<std::string>> rows;
  for (const auto& [name, value] : body.items())
    rows.push_back({name, Text(value)});
  PrintTable(session.out(), rows);
  return kSuccess;
}

int RunOrganisationList(const Session& session) {
  return List(session, "organisation/", "organisation",
              {"name", "rate", "burst"});
}

int RunKeyList(const Session& session) {
  const auto& words = session.arguments.words;
  return List(session, "key/" + (words.empty() ? "" : words[0] + "/"), "key",
              {"organisation", "id"});
}

int RunRouteList(const Session& session) {
  return List(session, "route/", "route",
              {"name", "service", "method", "path"});
}

int RunServiceList(const Session& session) {
  return List(session, "service/", "service", {"name", "deployment"});
}

int RunSuspectList(const Session& session) {
  const Json body = session.Read("/v1/suspects");
  if (session.json()) {
    session.out() << body.dump() << '\n';
    return kSuccess;
  }
  std::vector<std::vector<std::string>> rows = {
      {"fingerprint", "state", "processes"}};
  for (const Json& suspect : body["suspects"]) {
    std::string processes;
    for (const Json& process : suspect["processes"])
      processes += (processes.empty() ? "" : " ") + process.get<std::string>();
    rows.push_back({suspect.value("fingerprint", ""),
                    suspect.value("blocked", false) ? "refused" : "suspect",
                    processes});
  }
  PrintTable(session.out(), rows);
  return kSuccess;
}

int RunZoneList(const Session& session) {
  return List(session, "zone/", "zone", {"name"});
}

}  // namespace yuccastair::ctl
