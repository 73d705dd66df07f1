// Edits of the settings tree and the inheritance between its levels.

#include "yuccastair/state/tree.h"

#include <array>
#include <utility>

namespace yuccastair::state {
namespace {

constexpr std::array<const char*, 4> kLevelNames = {"fleet", "deployment",
                                                    "service", "route"};

std::string LevelPath(wire::SettingsLevel level, const std::string& name) {
  std::string path = LevelName(level);
  if (level != wire::SETTINGS_LEVEL_FLEET)
    path += "/" + name;
  return path;
}

}  // namespace

const char* LevelName(wire::SettingsLevel level) {
  const auto index = static_cast<std::size_t>(level);
  return index < kLevelNames.size() ? kLevelNames[index] : "unknown";
}

std::optional<wire::SettingsLevel> ParseLevel(const std::string& name) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (name == kLevelNames[i])
      return static_cast<wire::SettingsLevel>(i);
  }
  return std::nullopt;
}

std::string EntryId(const wire::SettingsEntry& entry) {
  switch (entry.entry_case()) {
    case wire::SettingsEntry::kSetting: {
      const SettingKey* key = FindSettingKey(entry.setting().key());
      return LevelPath(entry.setting().level(), entry.setting().name()) + "/" +
             (key ? key->name : std::to_string(entry.setting().key()));
    }
    case wire::SettingsEntry::kService:
      return "service/" + entry.service().name();
    case wire::SettingsEntry::kRoute:
      return "route/" + entry.route().name();
    case wire::SettingsEntry::kOrganisation:
      return "organisation/" + entry.organisation().name();
    case wire::SettingsEntry::kKey:
      return "key/" + entry.key().organisation() + "/" + entry.key().id();
    case wire::SettingsEntry::kZoneOut:
      return "zone/" + entry.zone_out().name();
    case wire::SettingsEntry::ENTRY_NOT_SET:
      break;
  }
  return "";
}

const wire::SettingsEntry* SettingsTree::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

void SettingsTree::Put(const wire::SettingsEntry& entry) {
  entries_[EntryId(entry)] = entry;
}

std::vector<wire::EntryChange> SettingsTree::Apply(
    const wire::SettingsEdit& edit) {
  std::vector<wire::EntryChange> changes;
  const std::string id = EntryId(edit.entry());
  const auto found = entries_.find(id);
  if (!edit.remove()) {
    if (found != entries_.end() &&
        found->second.SerializeAsString() == edit.entry().SerializeAsString())
      return changes;
    wire::EntryChange& change = changes.emplace_back();
    if (found != entries_.end())
      *change.mutable_before() = found->second;
    *change.mutable_after() = edit.entry();
    Put(edit.entry());
    return changes;
  }
  if (found == entries_.end())
    return changes;
  *changes.emplace_back().mutable_before() = found->second;
  entries_.erase(found);
  if (edit.entry().has_route()) {
    const std::string prefix = id + "/";
    auto setting = entries_.lower_bound(prefix);
    while (setting != entries_.end() && setting->first.rfind(prefix, 0) == 0) {
      *changes.emplace_back().mutable_before() = setting->second;
      setting = entries_.erase(setting);
    }
  }
  return changes;
}

void SettingsTree::Revert(const wire::EntryChange& change) {
  if (change.has_before())
    Put(change.before());
  else
    entries_.erase(EntryId(change.after()));
}

Scope SettingsTree::ScopeOf(wire::SettingsLevel level,
                            const std::string& name) const {
  Scope scope;
  switch (level) {
    case wire::SETTINGS_LEVEL_ROUTE:
      scope.route = name;
      if (const wire::SettingsEntry* route = Find("route/" + name))
        scope.service = route->route().service();
      break;
    case wire::SETTINGS_LEVEL_SERVICE:
      scope.service = name;
      break;
    case wire::SETTINGS_LEVEL_DEPLOYMENT:
      scope.deployment = name;
      break;
    default:
      break;
  }
  if (const wire::SettingsEntry* service = Find("service/" + scope.service))
    scope.deployment = service->service().deployment();
  return scope;
}

const wire::SettingsEntry* SettingsTree::FindSetting(
    wire::SettingsLevel level,
    const std::string& name,
    const SettingKey& key) const {
  if (name.empty() && level != wire::SETTINGS_LEVEL_FLEET)
    return nullptr;
  return Find(LevelPath(level, name) + "/" + key.name);
}

EffectiveValue SettingsTree::Effective(const SettingKey& key,
                                       const Scope& scope) const {
  const std::array<std::pair<wire::SettingsLevel, std::string>, 4> levels = {{
      {wire::SETTINGS_LEVEL_ROUTE, scope.route},
      {wire::SETTINGS_LEVEL_SERVICE, scope.service},
      {wire::SETTINGS_LEVEL_DEPLOYMENT, scope.deployment},
      {wire::SETTINGS_LEVEL_FLEET, ""},
  }};
  for (const auto& [level, name] : levels) {
    if (const wire::SettingsEntry* entry = FindSetting(level, name, key))
      return {entry->setting().value(), LevelPath(level, name)};
  }
  return {key.fallback, "default"};
}

}  // namespace yuccastair::state
