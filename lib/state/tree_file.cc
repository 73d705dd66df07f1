// Reads tree files with tomlplusplus and collects every fault with its line.

#include "yuccastair/state/tree_file.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

#include "yuccastair/state/schema.h"
#include "yuccastair/state/tree.h"
#include "yuccastair/state/validate.h"
#include "yuccastair/support/error.h"

namespace yuccastair::state {
namespace {

constexpr std::size_t kMaxPrintedValue = 64;

std::string Print(const toml::node& node) {
  std::ostringstream out;
  node.visit([&](const auto& value) { out << value; });
  return out.str().substr(0, kMaxPrintedValue);
}

std::optional<std::int64_t> ValueOf(const SettingKey& key,
                                    const toml::node& node) {
  if (node.is_floating_point())
    return ParseSetting(key, node.value_or(-1.0));
  return ParseSetting(
      key, node.is_string() ? node.value_or(std::string()) : Print(node));
}

class Reader {
 public:
  Reader(std::string name, TreeFile& file)
      : name_(std::move(name)), file_(file) {}

  void Read(const toml::table& root) {
    for (const auto& [key, node] : root) {
      const std::string section(key.str());
      const toml::table* table = node.as_table();
      if (section == "fleet" && table)
        ReadValues(*table, wire::SETTINGS_LEVEL_FLEET, "", "", section);
      else if (section == "deployment" || section == "service" ||
               section == "route" || section == "organisation")
        ReadNamed(node, section);
      else
        Fault(&node, section, "",
              "the tables fleet, deployment.NAME, service.NAME, route.NAME and "
              "organisation.NAME are allowed");
    }
    CheckTogether();
    std::stable_sort(
        file_.faults.begin(), file_.faults.end(),
        [](const auto& a, const auto& b) { return a.line < b.line; });
  }

 private:
  void Fault(const toml::node* node,
             const std::string& key,
             const std::string& value,
             const std::string& allowed) {
    file_.faults.push_back({.file = name_,
                            .line = node ? node->source().begin.line : 0,
                            .key = key,
                            .value = value,
                            .allowed = allowed});
  }

  void ReadNamed(const toml::node& node, const std::string& section) {
    const toml::table* tables = node.as_table();
    if (!tables) {
      Fault(&node, section, Print(node),
            "tables " + section + ".NAME are allowed");
      return;
    }
    for (const auto& [key, child] : *tables) {
      const std::string name(key.str());
      std::string path = section;
      path.append(".").append(name);
      const toml::table* table = child.as_table();
      if (!table)
        Fault(&child, path, Print(child), "a table is expected");
      else if (section == "organisation")
        ReadOrganisation(*table, name, path);
      else
        ReadLevel(*table, section, name, path);
    }
  }

  void ReadLevel(const toml::table& table,
                 const std::string& section,
                 const std::string& name,
                 const std::string& path) {
    const wire::SettingsLevel level = *ParseLevel(section);
    const std::size_t faults_before = file_.faults.size();
    wire::SettingsEntry entry;
    if (level == wire::SETTINGS_LEVEL_ROUTE) {
      wire::RouteDefinition& route = *entry.mutable_route();
      route.set_name(name);
      route.set_service(Text(table, path, "service", true));
      route.set_method(Text(table, path, "method", false));
      route.set_path(Text(table, path, "path", true));
      AddIfComplete(&table, path, entry, faults_before);
    } else if (level == wire::SETTINGS_LEVEL_SERVICE &&
               table.contains("deployment")) {
      entry.mutable_service()->set_name(name);
      entry.mutable_service()->set_deployment(
          Text(table, path, "deployment", true));
      AddIfComplete(&table, path, entry, faults_before);
    }
    ReadValues(table, level, name, "", path);
  }

  void ReadOrganisation(const toml::table& table,
                        const std::string& name,
                        const std::string& path) {
    const std::size_t faults_before = file_.faults.size();
    wire::SettingsEntry entry;
    wire::Organisation& organisation = *entry.mutable_organisation();
    organisation.set_name(name);
    organisation.set_rate(Number(table, path, "rate"));
    organisation.set_burst(Number(table, path, "burst"));
    AddIfComplete(&table, path, entry, faults_before);
    for (const auto& [key, node] : table) {
      if (key.str() != "rate" && key.str() != "burst")
        Fault(&node, path + "." + std::string(key.str()), Print(node),
              "unknown key; rate and burst are allowed");
    }
  }

  /// Reads settings; a key such as limit.max is a table limit in TOML.
  void ReadValues(const toml::table& table,
                  wire::SettingsLevel level,
                  const std::string& name,
                  const std::string& prefix,
                  const std::string& path) {
    for (const auto& [part, node] : table) {
      const std::string key_name = prefix + std::string(part.str());
      if (IsDefinition(level, key_name))
        continue;
      const SettingKey* key = FindSettingKey(key_name);
      if (const toml::table* child = node.as_table(); child && !key) {
        ReadValues(*child, level, name, key_name + ".", path);
        continue;
      }
      std::string full = path;
      full.append(".").append(key_name);
      if (!key) {
        Fault(
            &node, full, Print(node),
            "unknown key; did you mean " + NearestSettingName(key_name) + "?");
        continue;
      }
      const auto value = ValueOf(*key, node);
      if (!value) {
        Fault(&node, full, Print(node), DescribeAllowed(*key) + " is allowed");
        continue;
      }
      wire::SettingsEntry entry;
      wire::SettingValue& setting = *entry.mutable_setting();
      setting.set_level(level);
      setting.set_name(name);
      setting.set_key(key->number);
      setting.set_value(*value);
      Add(&node, full, entry);
    }
  }

  static bool IsDefinition(wire::SettingsLevel level, const std::string& key) {
    if (level == wire::SETTINGS_LEVEL_ROUTE)
      return key == "service" || key == "method" || key == "path";
    return level == wire::SETTINGS_LEVEL_SERVICE && key == "deployment";
  }

  std::string Text(const toml::table& table,
                   const std::string& path,
                   const char* key,
                   bool required) {
    const toml::node* node = table.get(key);
    if (node && node->is_string())
      return node->value_or(std::string());
    if (node || required)
      Fault(node ? node : &table, path + "." + key, node ? Print(*node) : "",
            "a string is required");
    return "";
  }

  double Number(const toml::table& table,
                const std::string& path,
                const char* key) {
    const toml::node* node = table.get(key);
    if (node && (node->is_integer() || node->is_floating_point()))
      return node->value_or(0.0);
    Fault(node ? node : &table, path + "." + key, node ? Print(*node) : "",
          "a number is required");
    return 0;
  }

  void Add(const toml::node* node,
           const std::string& key,
           const wire::SettingsEntry& entry) {
    std::vector<std::string> faults;
    CheckEntry(entry, /*removal=*/false, faults);
    for (const std::string& fault : faults)
      Fault(node, key, "", fault);
    file_.entries.push_back(entry);
  }

  /// Adds an entry, but not one of which a part is already reported.
  void AddIfComplete(const toml::node* node,
                     const std::string& key,
                     const wire::SettingsEntry& entry,
                     std::size_t faults_before) {
    if (file_.faults.size() == faults_before)
      Add(node, key, entry);
  }

  /// Rules between entries are worth reporting only once each entry is right.
  void CheckTogether() {
    if (!file_.faults.empty())
      return;
    SettingsTree tree;
    for (const wire::SettingsEntry& entry : file_.entries) {
      wire::SettingsEdit edit;
      *edit.mutable_entry() = entry;
      tree.Apply(edit);
    }
    std::vector<std::string> faults;
    CheckTree(tree, faults);
    for (const std::string& fault : faults)
      Fault(nullptr, "", "", fault);
  }

  const std::string name_;
  TreeFile& file_;
};

}  // namespace

TreeFile ParseTreeFile(const std::string& text, const std::string& name) {
  TreeFile file;
  toml::table root;
  try {
    root = toml::parse(text, name);
  } catch (const toml::parse_error& error) {
    std::ostringstream message;
    message << name << ':' << error.source().begin.line << ": "
            << error.description();
    throw support::Error("read settings", "", message.str());
  }
  Reader(name, file).Read(root);
  return file;
}

TreeFile ReadTreeFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    throw support::Error("read settings", "", path + ": cannot be opened");
  return ParseTreeFile({std::istreambuf_iterator<char>(in), {}}, path);
}

bool IsTreeFileEntry(const wire::SettingsEntry& entry) {
  return entry.has_setting() || entry.has_service() || entry.has_route() ||
         entry.has_organisation();
}

std::vector<wire::SettingsEdit> EditsBetween(
    const std::vector<wire::SettingsEntry>& current,
    const std::vector<wire::SettingsEntry>& wanted) {
  std::map<std::string, const wire::SettingsEntry*> left;
  for (const wire::SettingsEntry& entry : current)
    left[EntryId(entry)] = &entry;
  std::vector<wire::SettingsEdit> edits;
  for (const wire::SettingsEntry& entry : wanted) {
    const auto found = left.find(EntryId(entry));
    const bool same =
        found != left.end() &&
        found->second->SerializeAsString() == entry.SerializeAsString();
    if (found != left.end())
      left.erase(found);
    if (!same)
      *edits.emplace_back().mutable_entry() = entry;
  }
  for (const auto& [id, entry] : left) {
    wire::SettingsEdit& edit = edits.emplace_back();
    *edit.mutable_entry() = *entry;
    edit.set_remove(true);
  }
  return edits;
}

}  // namespace yuccastair::state
