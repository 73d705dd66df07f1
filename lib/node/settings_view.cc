// Builds the look-up tables of a settings version and publishes them at once.

#include "settings_view.h"

#include <algorithm>
#include <map>
#include <utility>

#include "yuccastair/state/key_hash.h"
#include "yuccastair/support/log.h"

namespace yuccastair::node {
namespace {

using Overrides = std::vector<wire::SettingValue>;

/// The overrides of every level, by level and name.
class OverrideTable {
 public:
  explicit OverrideTable(const state::SettingsTree& tree) {
    for (const auto& [id, entry] : tree.entries()) {
      if (entry.has_setting())
        table_[{entry.setting().level(), entry.setting().name()}].push_back(
            entry.setting());
    }
  }

  void ApplyTo(EffectiveSettings& settings,
               wire::SettingsLevel level,
               const std::string& name) const {
    const auto found = table_.find({level, name});
    if (found == table_.end())
      return;
    for (const wire::SettingValue& value : found->second)
      settings.Set(value.key(), value.value());
  }

  template <typename Visit>
  void VisitNames(wire::SettingsLevel level, Visit visit) const {
    for (const auto& [location, overrides] : table_) {
      if (location.first == level)
        visit(location.second);
    }
  }

 private:
  std::map<std::pair<wire::SettingsLevel, std::string>, Overrides> table_;
};

}  // namespace

EffectiveSettings::EffectiveSettings() {
  for (const state::SettingKey& key : state::SettingKeys())
    Set(key.number, key.fallback);
}

void EffectiveSettings::Set(std::uint32_t number, std::int64_t value) {
  // A number outside the schema comes from a later version of the program.
  if (number >= 1 && number <= values_.size())
    values_[number - 1] = value;
}

SettingsVersion::SettingsVersion(std::uint64_t version,
                                 const state::SettingsTree& tree)
    : version_(version) {
  const OverrideTable overrides(tree);
  overrides.ApplyTo(fleet_settings_, wire::SETTINGS_LEVEL_FLEET, "");
  const auto add_service = [&](const std::string& name) {
    EffectiveSettings settings = fleet_settings_;
    const state::Scope scope = tree.ScopeOf(wire::SETTINGS_LEVEL_SERVICE, name);
    overrides.ApplyTo(settings, wire::SETTINGS_LEVEL_DEPLOYMENT,
                      scope.deployment);
    overrides.ApplyTo(settings, wire::SETTINGS_LEVEL_SERVICE, name);
    service_settings_.insert_or_assign(name, settings);
  };
  overrides.VisitNames(wire::SETTINGS_LEVEL_SERVICE, add_service);
  for (const auto& [id, entry] : tree.entries()) {
    if (entry.has_service())
      add_service(entry.service().name());
    else if (entry.has_organisation())
      organisations_[entry.organisation().name()] = entry.organisation();
    else if (entry.has_key())
      keys_by_id_[entry.key().id()].push_back(entry.key());
    else if (entry.has_zone_out())
      zones_out_.insert(entry.zone_out().name());
  }
  for (const auto& [id, entry] : tree.entries()) {
    if (!entry.has_route())
      continue;
    const wire::RouteDefinition& route = entry.route();
    EffectiveSettings settings = ServiceSettings(route.service());
    overrides.ApplyTo(settings, wire::SETTINGS_LEVEL_ROUTE, route.name());
    routes_by_path_[route.path()].push_back(
        {route.method(), {route.name(), route.service(), settings}});
    max_route_path_bytes_ =
        std::max(max_route_path_bytes_, route.path().size());
  }
}

std::string SettingsVersion::FindOrganisationByKey(std::string_view key) const {
  const auto parts = state::SplitKey(key);
  if (!parts)
    return "";
  const auto candidates = keys_by_id_.find(parts->id);
  if (candidates == keys_by_id_.end())
    return "";
  for (const wire::Key& candidate : candidates->second) {
    if (candidate.organisation() == parts->organisation &&
        state::SecretMatches(parts->secret, candidate))
      return candidate.organisation();
  }
  return "";
}

const Route* SettingsVersion::FindRoute(std::string_view method,
                                        std::string_view path) const {
  if (path.empty() || path.front() != '/')
    return nullptr;
  // No prefix longer than the longest route can match. Starting there bounds
  // the work for a path of any length.
  std::size_t end = path.size();
  if (end > max_route_path_bytes_)
    end = path.rfind('/', max_route_path_bytes_);
  while (true) {
    const std::string_view prefix =
        path.substr(0, std::max<std::size_t>(end, 1));
    const auto found = routes_by_path_.find(prefix);
    if (found != routes_by_path_.end()) {
      const Route* any_method_route = nullptr;
      for (const MethodRoute& candidate : found->second) {
        if (candidate.method == method)
          return &candidate.route;
        if (candidate.method.empty())
          any_method_route = &candidate.route;
      }
      if (any_method_route)
        return any_method_route;
    }
    if (end == 0 || prefix.size() == 1)
      return nullptr;
    end = path.rfind('/', end - 1);
  }
}

const EffectiveSettings& SettingsVersion::ServiceSettings(
    std::string_view service) const {
  const auto found = service_settings_.find(service);
  return found == service_settings_.end() ? fleet_settings_ : found->second;
}

const wire::Organisation* SettingsVersion::FindOrganisation(
    std::string_view name) const {
  const auto found = organisations_.find(name);
  return found == organisations_.end() ? nullptr : &found->second;
}

SettingsView::SettingsView()
    : current_(std::make_shared<const SettingsVersion>()) {}

std::shared_ptr<const SettingsVersion> SettingsView::Current() const {
  std::lock_guard lock(mutex_);
  return current_;
}

bool SettingsView::Apply(const wire::SyncReply& reply) {
  const bool applied =
      reply.settings().empty() || ApplyUpdate(reply.settings());
  const std::uint64_t held_version = Current()->version();
  const bool complete = applied && held_version >= reply.settings_version();
  version_to_report_ = complete ? held_version : 0;
  return complete;
}

bool SettingsView::ApplyUpdate(const std::string& encoded) {
  wire::SettingsUpdate update;
  if (!update.ParseFromString(encoded)) {
    support::LogWarning("settings.undecodable", {{"bytes", encoded.size()}});
    return false;
  }
  const std::uint64_t held_version = Current()->version();
  if (update.version() <= held_version) {
    if (update.version() < held_version)
      support::LogInfo(
          "settings.older_ignored",
          {{"held", held_version}, {"received", update.version()}});
    return true;
  }
  if (update.from_version() != 0 && update.from_version() != held_version) {
    support::LogWarning(
        "settings.delta_mismatch",
        {{"held", held_version}, {"from", update.from_version()}});
    return false;
  }
  if (update.from_version() == 0)
    tree_ = {};
  for (const wire::SettingsEdit& edit : update.edits())
    tree_.Apply(edit);
  auto next = std::make_shared<const SettingsVersion>(update.version(), tree_);
  std::shared_ptr<const SettingsVersion> previous;
  {
    std::lock_guard lock(mutex_);
    // The previous version is freed by its last user, outside this lock.
    previous = std::exchange(current_, std::move(next));
  }
  support::LogInfo("settings.applied", {{"version", update.version()}});
  return true;
}

}  // namespace yuccastair::node
