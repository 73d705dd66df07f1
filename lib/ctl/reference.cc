// Prints the schema of the settings tree as a page.

#include <ostream>

#include "command.h"
#include "yuccastair/state/schema.h"

namespace yuccastair::ctl {

int RunReference(const Session& session) {
  session.out() << "| key | unit | allowed | default | meaning |\n"
                   "|---|---|---|---|---|\n";
  for (const state::SettingKey& key : state::SettingKeys())
    session.out() << "| `" << key.name << "` | " << key.unit << " | "
                  << state::DescribeAllowed(key) << " | `"
                  << state::FormatSetting(key, key.fallback) << "` | "
                  << key.description << " |\n";
  return kSuccess;
}

}  // namespace yuccastair::ctl
