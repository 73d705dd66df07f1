// Commands that change organisations and their keys.

#include <cstdlib>

#include "command.h"
#include "yuccastair/state/key_hash.h"

namespace yuccastair::ctl {
namespace {

double RequireAmount(const Session& session, const std::string& option) {
  const std::string text = session.arguments.Get(option);
  char* end = nullptr;
  const double amount = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0')
    throw UsageError("--" + option + " must be a number");
  return amount;
}

wire::SettingsEdit OrganisationEdit(const Session& session) {
  wire::SettingsEdit edit;
  wire::Organisation& organisation =
      *edit.mutable_entry()->mutable_organisation();
  organisation.set_name(session.arguments.words[0]);
  organisation.set_rate(RequireAmount(session, "rate"));
  organisation.set_burst(RequireAmount(session, "burst"));
  return edit;
}

void RequireOrganisation(const Session& session) {
  session.RequireExists("organisation/", "organisation", "name",
                        session.arguments.words[0]);
}

}  // namespace

int RunOrganisationCreate(const Session& session) {
  // A resend may find the organisation that its first sending created.
  if (!session.arguments.Has("operation-id") &&
      session.Exists("organisation/", "organisation", "name",
                     session.arguments.words[0]))
    throw UsageError("organisation \"" + session.arguments.words[0] +
                     "\" exists already; use organisation set-rate");
  return session.Change({OrganisationEdit(session)});
}

int RunOrganisationSetRate(const Session& session) {
  RequireOrganisation(session);
  return session.Change({OrganisationEdit(session)});
}

int RunOrganisationDelete(const Session& session) {
  RequireOrganisation(session);
  wire::SettingsEdit edit;
  edit.mutable_entry()->mutable_organisation()->set_name(
      session.arguments.words[0]);
  edit.set_remove(true);
  return session.Change({edit});
}

int RunKeyIssue(const Session& session) {
  RequireOrganisation(session);
  // The secret is made here and only its hash leaves this process.
  const state::IssuedKey issued = state::IssueKey(
      session.arguments.words[0], session.environment.random_hex);
  wire::SettingsEdit edit;
  *edit.mutable_entry()->mutable_key() = issued.record;
  return session.Change({edit},
                        {{"id", issued.record.id()}, {"key", issued.text}});
}

int RunKeyRevoke(const Session& session) {
  session.RequireExists("key/" + session.arguments.words[0] + "/", "key", "id",
                        session.arguments.words[1]);
  wire::SettingsEdit edit;
  wire::Key& key = *edit.mutable_entry()->mutable_key();
  key.set_organisation(session.arguments.words[0]);
  key.set_id(session.arguments.words[1]);
  edit.set_remove(true);
  return session.Change({edit});
}

}  // namespace yuccastair::ctl
