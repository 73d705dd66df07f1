// Sending a change and reporting its outcome.

#include <algorithm>
#include <charconv>
#include <ostream>

#include "command.h"
#include "yuccastair/state/json.h"
#include "yuccastair/state/tree.h"
#include "yuccastair/support/error.h"

namespace yuccastair::ctl {
namespace {

using Json = nlohmann::json;

void PrintFaults(std::ostream& err, const Json& body) {
  for (const Json& fault : body.value("faults", Json::array()))
    err << "  " << fault.get<std::string>() << '\n';
  if (body.contains("reason"))
    err << "  " << body.value("reason", "") << '\n';
}

void PrintConflict(std::ostream& err, const Json& body) {
  for (const Json& record : body.value("changed_since", Json::array())) {
    err << "  version " << record.value("version", 0) << " by "
        << record.value("author", "") << '\n';
    PrintChanges(err, record.value("changes", Json::array()));
  }
  if (const int more = body.value("changes_left_out", 0); more > 0)
    err << "  and " << more << " earlier changes\n";
}

/// The part of an entry that a change may replace.
std::string ValueOf(const Json& entry) {
  const std::string kind = entry.value("kind", "");
  if (kind == "setting") {
    const Json& value = entry.at("value");
    return value.is_string() ? value.get<std::string>() : value.dump();
  }
  Json rest = entry;
  rest.erase("kind");
  rest.erase("name");
  rest.erase("id");
  if (kind == "key")
    rest.erase("organisation");
  if (rest.empty())
    return kind == "zone" ? "out" : "present";
  return rest.dump();
}

}  // namespace

void ParseScope(const std::string& text,
                wire::SettingsLevel& level,
                std::string& name) {
  const std::size_t slash = text.find('/');
  const auto parsed = state::ParseLevel(text.substr(0, slash));
  name = slash == std::string::npos ? "" : text.substr(slash + 1);
  if (!parsed || (*parsed == wire::SETTINGS_LEVEL_FLEET) != name.empty())
    throw UsageError("\"" + text +
                     "\" must be fleet, deployment/NAME, service/NAME or "
                     "route/NAME");
  level = *parsed;
}

std::uint64_t ParseNumber(const std::string& text, const std::string& what) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size())
    throw UsageError(what + " must be a whole number, not \"" + text + "\"");
  return number;
}

void PrintChanges(std::ostream& out, const Json& changes) {
  for (const Json& change : changes) {
    out << "  " << change.value("entry", "") << ": "
        << (change.contains("before") ? ValueOf(change["before"]) : "(none)")
        << " -> "
        << (change.contains("after") ? ValueOf(change["after"]) : "(none)")
        << '\n';
  }
}

Json Session::Read(const std::string& path) const {
  Answer answer = client.Get(path);
  if (answer.status == 200)
    return std::move(answer.body);
  throw support::Error(
      "read", "",
      answer.body.value("reason", "status " + std::to_string(answer.status)));
}

std::uint64_t Session::BaseVersion() const {
  if (arguments.Has("base-version"))
    return ParseNumber(arguments.Get("base-version"), "--base-version");
  return Read("/v1/status").value("settings_version", std::uint64_t{0});
}

bool Session::Exists(const std::string& prefix,
                     const std::string& kind,
                     const std::string& member,
                     const std::string& value) const {
  const Json body = Read("/v1/entries?prefix=" + prefix + value);
  const Json& entries = body.at("entries");
  return std::any_of(entries.begin(), entries.end(), [&](const Json& entry) {
    return entry.value("kind", "") == kind && entry.value(member, "") == value;
  });
}

void Session::RequireExists(const std::string& prefix,
                            const std::string& kind,
                            const std::string& member,
                            const std::string& value) const {
  if (!arguments.Has("operation-id") && !Exists(prefix, kind, member, value))
    throw UsageError(kind + " \"" + value + "\" does not exist");
}

int Session::Change(const std::vector<wire::SettingsEdit>& edits,
                    const Json& extra) const {
  Json change = {{"edits", Json::array()}};
  for (const wire::SettingsEdit& edit : edits)
    change["edits"].push_back(state::EditToJson(edit));
  return Send(std::move(change), extra);
}

int Session::Send(Json change, const Json& extra) const {
  // Made once, so that every resend is the same operation.
  const std::string operation_id = arguments.Has("operation-id")
                                       ? arguments.Get("operation-id")
                                       : environment.random_hex(16);
  change["operation_id"] = operation_id;
  if (!change.contains("base_version"))
    change["base_version"] = BaseVersion();
  change["author"] = arguments.Get("author", environment.user);
  change["comment"] = arguments.Get("comment");
  const Answer answer = client.Post("/v1/changes", change);
  if (answer.status == 200) {
    Json shown = answer.body;
    shown.update(extra);
    if (json()) {
      out() << shown.dump() << '\n';
      return kSuccess;
    }
    out() << (answer.body["version"] == change["base_version"]
                  ? "nothing to change; the version is "
                  : "committed as version ")
          << answer.body["version"] << '\n';
    for (const auto& [name, value] : extra.items())
      out() << name << ": " << value.get<std::string>() << '\n';
    return kSuccess;
  }
  if (json())
    out() << answer.body.dump() << '\n';
  std::ostream& err = environment.err;
  if (answer.status == 409) {
    err << "conflict: the settings are at version " << answer.body["version"]
        << ", the change is based on version " << change["base_version"]
        << "; changed since:\n";
    PrintConflict(err, answer.body);
    PrintFaults(err, answer.body);
    return kRejected;
  }
  if (answer.status == 504) {
    err << "uncertain: the change may have been committed; to find out, run "
           "the same command with --operation-id "
        << operation_id << " --base-version " << change["base_version"] << '\n';
    // A key cannot be made again, so it is shown in this case too.
    for (const auto& [name, value] : extra.items())
      err << "if it was committed, " << name << ": " << value.get<std::string>()
          << '\n';
    PrintFaults(err, answer.body);
    return kFailure;
  }
  err << answer.body.value("outcome", "failed") << ":\n";
  PrintFaults(err, answer.body);
  return answer.status == 503 ? kFailure : kUsage;
}

}  // namespace yuccastair::ctl
