// The table of commands and what each of them works with.

#ifndef YUCCASTAIR_LIB_CTL_COMMAND_H_
#define YUCCASTAIR_LIB_CTL_COMMAND_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "control_client.h"
#include "state.pb.h"
#include "yuccastair/ctl/ctl.h"

namespace yuccastair::ctl {

/// The words and options of one command line.
struct Arguments {
  /// Without the words that name the command.
  std::vector<std::string> words;
  /// The options that were given; flags have the value "true".
  std::map<std::string, std::string> options;

  bool Has(const std::string& option) const {
    return options.count(option) > 0;
  }
  std::string Get(const std::string& option,
                  const std::string& fallback = "") const {
    const auto found = options.find(option);
    return found == options.end() ? fallback : found->second;
  }
};

/// A command line that cannot be understood; ends with kUsage.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// What the commands share while one of them runs.
class Session {
 public:
  Session(const Environment& environment,
          const Arguments& arguments,
          ControlClient& client)
      : environment(environment), arguments(arguments), client(client) {}

  std::ostream& out() const { return environment.out; }
  bool json() const { return arguments.Has("json"); }

  /// Returns the body of an answer; throws Error if the status is not 200.
  nlohmann::json Read(const std::string& path) const;

  /// Returns the version that a change is to be based on: that of the option
  /// --base-version, otherwise the current one.
  std::uint64_t BaseVersion() const;

  /// Returns whether there is an entry of that kind whose \p member is
  /// \p value.
  bool Exists(const std::string& prefix,
              const std::string& kind,
              const std::string& member,
              const std::string& value) const;

  /// Throws UsageError if Exists() is false, so that a mistyped name is not
  /// taken for something already gone. A resend is let through, since its
  /// first sending may have removed the entry.
  void RequireExists(const std::string& prefix,
                     const std::string& kind,
                     const std::string& member,
                     const std::string& value) const;

  /// Sends edits as one change and reports its outcome. \p extra holds
  /// texts that are printed with a change that may have been committed.
  int Change(const std::vector<wire::SettingsEdit>& edits,
             const nlohmann::json& extra = nlohmann::json::object()) const;
  int Send(nlohmann::json change, const nlohmann::json& extra) const;

  const Environment& environment;
  const Arguments& arguments;
  ControlClient& client;
};

struct Command {
  /// The words that name it.
  std::string name;
  /// Its further words, as help shows them.
  std::string words;
  std::size_t min_words;
  std::size_t max_words;
  /// Options beyond those that all commands have.
  std::vector<std::string> options;
  std::string summary;
  int (*run)(const Session& session);
};

/// Options of all commands, and of some of them, with their help.
struct Option {
  const char* name;
  /// Name of the value in help; empty for a flag.
  const char* value;
  const char* summary;
  /// Whether each command takes it.
  bool common;
};

const std::vector<Command>& Commands();
const std::vector<Option>& Options();

// The commands, by file.
// change_commands.cc
int RunSet(const Session& session);
int RunUnset(const Session& session);
int RunRollback(const Session& session);
int RunPlan(const Session& session);
int RunApply(const Session& session);
int RunServiceAssign(const Session& session);
int RunRouteCreate(const Session& session);
int RunRouteDelete(const Session& session);
int RunZoneOut(const Session& session);
int RunZoneIn(const Session& session);
int RunSuspectClear(const Session& session);
// organisation_commands.cc
int RunOrganisationCreate(const Session& session);
int RunOrganisationSetRate(const Session& session);
int RunOrganisationDelete(const Session& session);
int RunKeyIssue(const Session& session);
int RunKeyRevoke(const Session& session);
// read_commands.cc
int RunGet(const Session& session);
int RunDiff(const Session& session);
int RunHistory(const Session& session);
int RunEvents(const Session& session);
int RunStatus(const Session& session);
int RunOrganisationList(const Session& session);
int RunKeyList(const Session& session);
int RunRouteList(const Session& session);
int RunServiceList(const Session& session);
int RunZoneList(const Session& session);
int RunSuspectList(const Session& session);
// explain.cc
int RunExplain(const Session& session);
// timeline.cc
int RunTimeline(const Session& session);
int RunAttainable(const Session& session);
// reference.cc
int RunReference(const Session& session);

/// Splits "service/orders" into level and name. Throws UsageError.
void ParseScope(const std::string& text,
                wire::SettingsLevel& level,
                std::string& name);

/// Parses a whole number from 0 on. Throws UsageError naming \p what.
std::uint64_t ParseNumber(const std::string& text, const std::string& what);

/// Prints rows with aligned columns.
void PrintTable(std::ostream& out,
                const std::vector<std::vector<std::string>>& rows);

/// Prints changes of entries, one a line.
void PrintChanges(std::ostream& out, const nlohmann::json& changes);

}  // namespace yuccastair::ctl

#endif  // YUCCASTAIR_LIB_CTL_COMMAND_H_
