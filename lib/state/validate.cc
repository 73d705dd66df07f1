// Checks of single entries, then of what entries require of each other.

#include "yuccastair/state/validate.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "yuccastair/state/key_hash.h"

namespace yuccastair::state {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxPathLength = 256;
constexpr std::size_t kMaxMethodLength = 16;
constexpr double kMaxRate = 1e9;

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool IsName(const std::string& name, const std::string& punctuation) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         IsAlphanumeric(name.front()) &&
         std::all_of(name.begin(), name.end(), [&](char c) {
           return IsAlphanumeric(c) || punctuation.find(c) != std::string::npos;
         });
}

/// Quotes text from outside: printable characters only, cut at 64.
std::string Quote(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text.substr(0, kMaxNameLength))
    quoted += c >= ' ' && c <= '~' ? c : '?';
  return quoted + (text.size() > kMaxNameLength ? "...\"" : "\"");
}

class EntryChecker {
 public:
  EntryChecker(bool removal, std::vector<std::string>& faults)
      : removal_(removal), faults_(faults) {}

  void Check(const wire::SettingValue& setting) {
    if (setting.level() < wire::SETTINGS_LEVEL_FLEET ||
        setting.level() > wire::SETTINGS_LEVEL_ROUTE) {
      Add("setting", "unknown level " + std::to_string(setting.level()));
      return;
    }
    const std::string level = LevelName(setting.level());
    if (setting.level() != wire::SETTINGS_LEVEL_FLEET)
      CheckName(level, setting.name());
    else if (!setting.name().empty())
      Add("fleet", "the fleet level has no name");
    const SettingKey* key = FindSettingKey(setting.key());
    if (!key)
      Add(level,
          "unknown settings key number " + std::to_string(setting.key()));
    else if (!removal_ && !IsAllowed(*key, setting.value()))
      Add(level + " " + setting.name(),
          std::string(key->name) + " must be " + DescribeAllowed(*key));
  }

  void Check(const wire::ServiceDefinition& service) {
    CheckName("service", service.name());
    if (!removal_)
      CheckName("deployment", service.deployment());
  }

  void Check(const wire::RouteDefinition& route) {
    CheckName("route", route.name());
    if (removal_)
      return;
    const std::string where = "route " + Quote(route.name());
    CheckName("service", route.service());
    const std::string& method = route.method();
    if (method.size() > kMaxMethodLength ||
        !std::all_of(method.begin(), method.end(),
                     [](char c) { return c >= 'A' && c <= 'Z'; }))
      Add(where, "method must be in capital letters, or empty for any");
    const std::string& path = route.path();
    if (path.empty() || path.front() != '/' || path.size() > kMaxPathLength ||
        path.find("//") != std::string::npos ||
        path.find_first_of("?#%\\") != std::string::npos ||
        (path.size() > 1 && path.back() == '/') ||
        !std::all_of(path.begin(), path.end(),
                     [](char c) { return c > ' ' && c <= '~'; }))
      Add(where,
          "path must begin with / and have no empty segment, no / at "
          "the end, no ? # % \\ and at most 256 characters");
  }

  void Check(const wire::Organisation& organisation) {
    CheckOrganisationName(organisation.name());
    if (removal_)
      return;
    const std::string where = "organisation " + Quote(organisation.name());
    CheckAmount(where, "rate", organisation.rate(), 0);
    CheckAmount(where, "burst", organisation.burst(), 1);
  }

  void Check(const wire::Key& key) {
    CheckOrganisationName(key.organisation());
    if (!IsKeyId(key.id()))
      Add("key " + Quote(key.id()), "id must be 12 hexadecimal digits");
    if (removal_)
      return;
    if (key.salt().size() != kSaltSize || key.hash().size() != kHashSize)
      Add("key " + Quote(key.id()),
          "salt must have 16 bytes and hash 32 bytes");
  }

  void Check(const wire::ZoneOut& zone) { CheckName("zone", zone.name()); }

  void Add(const std::string& where, const std::string& fault) {
    faults_.push_back(where + ": " + fault);
  }

 private:
  void CheckName(const std::string& what, const std::string& name) {
    if (!IsName(name, "._-"))
      Add(what + " " + Quote(name),
          "a name has 1 to 64 letters, digits, dots, hyphens or underscores "
          "and begins with a letter or digit");
  }

  void CheckOrganisationName(const std::string& name) {
    if (!IsName(name, "_-"))
      Add("organisation " + Quote(name),
          "a name has 1 to 64 letters, digits, hyphens or underscores and "
          "begins with a letter or digit; a dot would end it in a key");
  }

  void CheckAmount(const std::string& where,
                   const std::string& what,
                   double value,
                   double min) {
    if (!std::isfinite(value) || value < min || value > kMaxRate)
      Add(where, what + " must be a number from " +
                     std::to_string(static_cast<int>(min)) + " to 1000000000");
  }

  const bool removal_;
  std::vector<std::string>& faults_;
};

void CheckLimits(const SettingsTree& tree,
                 wire::SettingsLevel level,
                 const std::string& name,
                 std::vector<std::string>& faults) {
  const Scope scope = tree.ScopeOf(level, name);
  const auto value = [&](SettingNumber number) {
    return tree.Effective(SettingKeys()[number - 1], scope).value;
  };
  const auto min = value(kLimitMin);
  const auto initial = value(kLimitInitial);
  const auto max = value(kLimitMax);
  if (min > initial || initial > max)
    faults.push_back(std::string(LevelName(level)) +
                     (name.empty() ? "" : " " + Quote(name)) + ": limit.min " +
                     std::to_string(min) + ", limit.initial " +
                     std::to_string(initial) + " and limit.max " +
                     std::to_string(max) + " must be in ascending order");
}

}  // namespace

void CheckEntry(const wire::SettingsEntry& entry,
                bool removal,
                std::vector<std::string>& faults) {
  EntryChecker checker(removal, faults);
  switch (entry.entry_case()) {
    case wire::SettingsEntry::kSetting:
      return checker.Check(entry.setting());
    case wire::SettingsEntry::kService:
      return checker.Check(entry.service());
    case wire::SettingsEntry::kRoute:
      return checker.Check(entry.route());
    case wire::SettingsEntry::kOrganisation:
      return checker.Check(entry.organisation());
    case wire::SettingsEntry::kKey:
      return checker.Check(entry.key());
    case wire::SettingsEntry::kZoneOut:
      return checker.Check(entry.zone_out());
    case wire::SettingsEntry::ENTRY_NOT_SET:
      checker.Add("edit", "it names no entry");
  }
}

void CheckTree(const SettingsTree& tree, std::vector<std::string>& faults) {
  std::map<std::string, std::string> route_by_match;
  // Ordered, so that every process lists faults in the same order.
  std::set<std::pair<wire::SettingsLevel, std::string>> limited;
  for (const auto& [id, entry] : tree.entries()) {
    if (entry.has_route()) {
      const wire::RouteDefinition& route = entry.route();
      const auto [other, added] = route_by_match.emplace(
          route.method() + " " + route.path(), route.name());
      if (!added)
        faults.push_back("route " + Quote(route.name()) +
                         ": it has the same method and path as route " +
                         Quote(other->second));
    } else if (entry.has_key()) {
      if (!tree.Find("organisation/" + entry.key().organisation()))
        faults.push_back("key " + entry.key().id() +
                         ": it belongs to organisation " +
                         Quote(entry.key().organisation()) +
                         ", which does not exist; revoke the key first");
    } else if (entry.has_setting()) {
      const wire::SettingValue& setting = entry.setting();
      if (setting.level() == wire::SETTINGS_LEVEL_ROUTE &&
          !tree.Find("route/" + setting.name()))
        faults.push_back("route " + Quote(setting.name()) +
                         ": it does not exist, so it can have no settings");
      if (setting.key() >= kLimitInitial && setting.key() <= kLimitMax)
        limited.emplace(setting.level(), setting.name());
    } else if (entry.has_service()) {
      limited.emplace(wire::SETTINGS_LEVEL_SERVICE, entry.service().name());
    }
  }
  for (const auto& [level, name] : limited)
    CheckLimits(tree, level, name, faults);
}

}  // namespace yuccastair::state
