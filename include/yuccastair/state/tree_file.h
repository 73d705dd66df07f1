// The settings tree as a TOML file, which operators plan and apply.

#ifndef YUCCASTAIR_STATE_TREE_FILE_H_
#define YUCCASTAIR_STATE_TREE_FILE_H_

#include <string>
#include <vector>

#include "state.pb.h"
#include "yuccastair/support/settings_file.h"

namespace yuccastair::state {

/// A tree file holds the tables [fleet], [deployment.NAME], [service.NAME],
/// [route.NAME] and [organisation.NAME]. Keys of organisations and zones out of
/// service are not part of it.
struct TreeFile {
  std::vector<wire::SettingsEntry> entries;
  std::vector<support::SettingsFault> faults;
};

/// Reads a file and checks all rules that need no other state. Throws Error
/// with step "read settings" if it cannot be read or is not TOML.
TreeFile ReadTreeFile(const std::string& path);

/// As ReadTreeFile(), from text; \p name stands for the file in faults.
TreeFile ParseTreeFile(const std::string& text, const std::string& name);

/// Returns whether a tree file decides on this kind of entry.
bool IsTreeFileEntry(const wire::SettingsEntry& entry);

/// Returns the edits that lead from the current entries to the wanted ones.
std::vector<wire::SettingsEdit> EditsBetween(
    const std::vector<wire::SettingsEntry>& current,
    const std::vector<wire::SettingsEntry>& wanted);

}  // namespace yuccastair::state

#endif  // YUCCASTAIR_STATE_TREE_FILE_H_
