// The entries of the shared settings and the values that they give.

#ifndef YUCCASTAIR_STATE_TREE_H_
#define YUCCASTAIR_STATE_TREE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state.pb.h"
#include "yuccastair/state/schema.h"

namespace yuccastair::state {

/// Returns the name under which an entry stands: "service/orders/limit.max",
/// "route/order-create", "organisation/acme", "key/acme/ID", "zone/mids-a".
std::string EntryId(const wire::SettingsEntry& entry);

/// Returns the name of a level: "fleet", "deployment", "service" or "route".
const char* LevelName(wire::SettingsLevel level);
std::optional<wire::SettingsLevel> ParseLevel(const std::string& name);

/// Where a value applies: a route of a service of a deployment. Empty names are
/// levels that do not apply.
struct Scope {
  std::string deployment;
  std::string service;
  std::string route;
};

struct EffectiveValue {
  std::int64_t value = 0;
  /// "default", or the level and name that the value comes from.
  std::string source;
};

/// The current entries, by their name.
class SettingsTree {
 public:
  using Entries = std::map<std::string, wire::SettingsEntry>;

  const Entries& entries() const { return entries_; }
  const wire::SettingsEntry* Find(const std::string& id) const;

  /// Applies an edit. Removing a route removes its settings too. Returns what
  /// changed; nothing for an edit without effect.
  std::vector<wire::EntryChange> Apply(const wire::SettingsEdit& edit);

  /// Takes back a change that Apply() returned.
  void Revert(const wire::EntryChange& change);

  /// Returns the scope of a level's name: a route brings its service, a service
  /// its deployment.
  Scope ScopeOf(wire::SettingsLevel level, const std::string& name) const;

  /// Returns the value of a key: that of the most specific level that sets it.
  EffectiveValue Effective(const SettingKey& key, const Scope& scope) const;

 private:
  void Put(const wire::SettingsEntry& entry);
  const wire::SettingsEntry* FindSetting(wire::SettingsLevel level,
                                         const std::string& name,
                                         const SettingKey& key) const;

  Entries entries_;
};

}  // namespace yuccastair::state

#endif  // YUCCASTAIR_STATE_TREE_H_
