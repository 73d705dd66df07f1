// Commands that change the tree, routes, services and zones.

#include <ostream>

#include "command.h"
#include "yuccastair/state/json.h"
#include "yuccastair/state/schema.h"
#include "yuccastair/state/tree_file.h"

namespace yuccastair::ctl {
namespace {

using Json = nlohmann::json;

const state::SettingKey& RequireKey(const std::string& name) {
  const state::SettingKey* key = state::FindSettingKey(name);
  if (!key)
    throw UsageError("unknown settings key \"" + name + "\"; did you mean " +
                     state::NearestSettingName(name) + "?");
  return *key;
}

wire::SettingsEdit SettingEdit(wire::SettingsLevel level,
                               const std::string& name,
                               const std::string& key_name) {
  wire::SettingsEdit edit;
  wire::SettingValue& setting = *edit.mutable_entry()->mutable_setting();
  setting.set_level(level);
  setting.set_name(name);
  setting.set_key(RequireKey(key_name).number);
  return edit;
}

wire::SettingsEdit SettingEdit(wire::SettingsLevel level,
                               const std::string& name,
                               const std::string& key_name,
                               const std::string& text) {
  wire::SettingsEdit edit = SettingEdit(level, name, key_name);
  const state::SettingKey& key = RequireKey(key_name);
  const auto value = state::ParseSetting(key, text);
  if (!value)
    throw UsageError(key_name + " = " + text + ": " +
                     state::DescribeAllowed(key) + " is allowed");
  edit.mutable_entry()->mutable_setting()->set_value(*value);
  return edit;
}

wire::SettingsEdit ZoneEdit(const std::string& name, bool out) {
  wire::SettingsEdit edit;
  edit.mutable_entry()->mutable_zone_out()->set_name(name);
  edit.set_remove(!out);
  return edit;
}

int RunZone(const Session& session, bool out) {
  std::vector<wire::SettingsEdit> edits;
  for (const std::string& name : session.arguments.words)
    edits.push_back(ZoneEdit(name, out));
  return session.Change(edits);
}

/// The change that apply would send for a file.
Json PlanFile(const Session& session) {
  const state::TreeFile file = state::ReadTreeFile(session.arguments.words[0]);
  if (!file.faults.empty()) {
    std::string text = "the file has faults";
    for (const support::SettingsFault& fault : file.faults)
      text += "\n  " + fault.ToString();
    throw UsageError(text);
  }
  const Json current = session.Read("/v1/entries");
  Json entries = {
      {"operation_id", "-"}, {"base_version", 0}, {"edits", Json::array()}};
  for (const Json& entry : current.at("entries")) {
    if (entry.value("kind", "") != "key")
      entries["edits"].push_back(entry);
  }
  std::vector<std::string> faults;
  const wire::SettingsChange parsed = state::ChangeFromJson(entries, faults);
  if (!faults.empty())
    throw std::runtime_error(
        "a control process sent an entry that this "
        "version does not know: " +
        faults.front());
  std::vector<wire::SettingsEntry> held;
  for (const wire::SettingsEdit& edit : parsed.edits()) {
    if (state::IsTreeFileEntry(edit.entry()))
      held.push_back(edit.entry());
  }
  Json change = {{"edits", Json::array()},
                 {"base_version", session.arguments.Has("base-version")
                                      ? Json(session.BaseVersion())
                                      : current.at("version")}};
  for (const wire::SettingsEdit& edit : state::EditsBetween(held, file.entries))
    change["edits"].push_back(state::EditToJson(edit));
  return change;
}

int ReportNothing(const Session& session, const Json& change) {
  if (session.json())
    session.out() << Json({{"outcome", "unchanged"},
                           {"version", change["base_version"]}})
                         .dump()
                  << '\n';
  else
    session.out() << "nothing to change; the version is "
                  << change["base_version"] << '\n';
  return kSuccess;
}

}  // namespace

int RunSet(const Session& session) {
  wire::SettingsLevel level{};
  std::string name;
  ParseScope(session.arguments.words[0], level, name);
  std::vector<wire::SettingsEdit> edits;
  for (std::size_t i = 1; i < session.arguments.words.size(); ++i) {
    const std::string& word = session.arguments.words[i];
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos)
      throw UsageError("\"" + word + "\" must have the form KEY=VALUE");
    edits.push_back(SettingEdit(level, name, word.substr(0, equals),
                                word.substr(equals + 1)));
  }
  return session.Change(edits);
}

int RunUnset(const Session& session) {
  wire::SettingsLevel level{};
  std::string name;
  ParseScope(session.arguments.words[0], level, name);
  std::vector<wire::SettingsEdit> edits;
  for (std::size_t i = 1; i < session.arguments.words.size(); ++i) {
    edits.push_back(SettingEdit(level, name, session.arguments.words[i]));
    edits.back().set_remove(true);
  }
  return session.Change(edits);
}

int RunRollback(const Session& session) {
  return session.Send(
      {{"rollback_to", ParseNumber(session.arguments.words[0], "VERSION")}},
      Json::object());
}

int RunPlan(const Session& session) {
  Json change = PlanFile(session);
  if (change["edits"].empty())
    return ReportNothing(session, change);
  change["operation_id"] = "plan";
  const Answer answer = session.client.Post("/v1/plan", change);
  if (session.json()) {
    session.out() << answer.body.dump() << '\n';
  } else if (answer.status == 200) {
    session.out() << "would change version " << change["base_version"] << ":\n";
    PrintChanges(session.out(), answer.body.value("changes", Json::array()));
  }
  if (answer.status == 200)
    return kSuccess;
  session.environment.err << answer.body.value("outcome", "failed") << ": "
                          << answer.body.value("faults", Json::array()).dump()
                          << '\n';
  if (answer.status == 409)
    return kRejected;
  return answer.status == 400 ? kUsage : kFailure;
}

int RunApply(const Session& session) {
  const Json change = PlanFile(session);
  if (change["edits"].empty())
    return ReportNothing(session, change);
  return session.Send(change, Json::object());
}

int RunServiceAssign(const Session& session) {
  wire::SettingsEdit edit;
  wire::ServiceDefinition& service = *edit.mutable_entry()->mutable_service();
  service.set_name(session.arguments.words[0]);
  service.set_deployment(session.arguments.words[1]);
  return session.Change({edit});
}

int RunRouteCreate(const Session& session) {
  const Arguments& arguments = session.arguments;
  if (!arguments.Has("service") || !arguments.Has("path"))
    throw UsageError("--service and --path are required");
  // A route that is only put in place of another would keep the settings of
  // that, an open one included.
  if (!arguments.Has("operation-id") &&
      session.Exists("route/", "route", "name", arguments.words[0]))
    throw UsageError("route \"" + arguments.words[0] + "\" exists already");
  std::vector<wire::SettingsEdit> edits(1);
  const std::string& name = arguments.words[0];
  wire::RouteDefinition& route = *edits[0].mutable_entry()->mutable_route();
  route.set_name(name);
  route.set_service(arguments.Get("service"));
  route.set_method(arguments.Get("method"));
  route.set_path(arguments.Get("path"));
  for (const char* key : {"importance", "idempotent", "open"}) {
    if (arguments.Has(key))
      edits.push_back(SettingEdit(wire::SETTINGS_LEVEL_ROUTE, name, key,
                                  arguments.Get(key)));
  }
  return session.Change(edits);
}

int RunRouteDelete(const Session& session) {
  session.RequireExists("route/", "route", "name", session.arguments.words[0]);
  wire::SettingsEdit edit;
  edit.mutable_entry()->mutable_route()->set_name(session.arguments.words[0]);
  edit.set_remove(true);
  return session.Change({edit});
}

int RunZoneOut(const Session& session) {
  return RunZone(session, true);
}

int RunSuspectClear(const Session& session) {
  const Answer answer = session.client.Post(
      "/v1/suspects/clear", {{"fingerprint", session.arguments.words[0]}});
  if (session.json())
    session.out() << answer.body.dump() << '\n';
  if (answer.status == 200) {
    if (!session.json())
      session.out() << "the request is let through\n";
    return kSuccess;
  }
  std::string text = answer.body.value("reason", "");
  for (const Json& fault : answer.body.value("faults", Json::array()))
    text += fault.get<std::string>();
  session.environment.err << "not cleared: " << text << '\n';
  return answer.status == 400 ? kUsage : kRejected;
}

int RunZoneIn(const Session& session) {
  return RunZone(session, false);
}

}  // namespace yuccastair::ctl
