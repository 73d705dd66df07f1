// Settings files on top of tomlplusplus. Keys are dotted paths: "node.id".

#include "yuccastair/support/settings_file.h"

#include <toml++/toml.h>

#include <algorithm>
#include <limits>
#include <set>
#include <sstream>

#include "yuccastair/support/edit_distance.h"
#include "yuccastair/support/error.h"

namespace yuccastair::support {
namespace {

std::string Nearest(const std::string& key,
                    const std::set<std::string>& known) {
  std::string best;
  std::size_t best_distance = std::numeric_limits<std::size_t>::max();
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(key, candidate);
    if (distance < best_distance) {
      best_distance = distance;
      best = candidate;
    }
  }
  return best;
}

std::string Print(const toml::node& node) {
  std::ostringstream out;
  node.visit([&](const auto& value) { out << value; });
  return out.str();
}

}  // namespace

std::string SettingsFault::ToString() const {
  std::ostringstream out;
  out << file << ':' << line << ": " << key;
  if (!value.empty())
    out << " = " << value;
  out << ": " << allowed;
  return out.str();
}

struct SettingsFile::Impl {
  std::string path;
  toml::table table;
  std::set<std::string> known;
  std::vector<SettingsFault> faults;

  const toml::node* Find(const std::string& key) {
    known.insert(key);
    return table.at_path(key).node();
  }

  void AddFault(const std::string& key,
                const toml::node* node,
                const std::string& allowed) {
    faults.push_back({.file = path,
                      .line = node ? node->source().begin.line : 0,
                      .key = key,
                      .value = node ? Print(*node) : "",
                      .allowed = allowed});
  }

  void CheckUnknown(const toml::table& part, const std::string& prefix) {
    for (const auto& [name, node] : part) {
      const std::string key = prefix + std::string(name.str());
      if (const toml::table* child = node.as_table()) {
        CheckUnknown(*child, key + ".");
        continue;
      }
      if (known.count(key) == 0)
        AddFault(key, &node,
                 "unknown key; did you mean " + Nearest(key, known) + "?");
    }
  }
};

SettingsFile::SettingsFile(const std::string& path)
    : impl_(std::make_unique<Impl>()) {
  impl_->path = path;
  try {
    impl_->table = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream message;
    message << path << ':' << error.source().begin.line << ": "
            << error.description();
    throw Error("read settings", "", message.str());
  }
}

SettingsFile::~SettingsFile() = default;

std::string SettingsFile::RequireString(const std::string& key) {
  const toml::node* node = impl_->Find(key);
  if (node && node->is_string() && !node->value_or(std::string()).empty())
    return node->value_or(std::string());
  impl_->AddFault(key, node, "a non-empty string is required");
  return "";
}

std::string SettingsFile::GetString(const std::string& key,
                                    const std::string& fallback) {
  const toml::node* node = impl_->Find(key);
  if (!node)
    return fallback;
  if (node->is_string())
    return node->value_or(std::string());
  impl_->AddFault(key, node, "a string is allowed");
  return fallback;
}

std::int64_t SettingsFile::GetInteger(const std::string& key,
                                      std::int64_t fallback,
                                      std::int64_t min,
                                      std::int64_t max) {
  const toml::node* node = impl_->Find(key);
  if (!node)
    return fallback;
  const std::int64_t value = node->value_or(min - 1);
  if (node->is_integer() && value >= min && value <= max)
    return value;
  impl_->AddFault(key, node,
                  "a whole number from " + std::to_string(min) + " to " +
                      std::to_string(max) + " is allowed");
  return fallback;
}

bool SettingsFile::GetBoolean(const std::string& key, bool fallback) {
  const toml::node* node = impl_->Find(key);
  if (!node)
    return fallback;
  if (node->is_boolean())
    return node->value_or(fallback);
  impl_->AddFault(key, node, "true or false is allowed");
  return fallback;
}

std::chrono::milliseconds SettingsFile::GetMilliseconds(
    const std::string& key,
    std::chrono::milliseconds fallback,
    std::chrono::milliseconds min,
    std::chrono::milliseconds max) {
  return std::chrono::milliseconds(
      GetInteger(key, fallback.count(), min.count(), max.count()));
}

Address SettingsFile::RequireAddress(const std::string& key) {
  const toml::node* node = impl_->Find(key);
  if (node) {
    if (const auto address = ParseAddress(node->value_or(std::string())))
      return *address;
  }
  impl_->AddFault(key, node, "an address of the form ip:port is required");
  return {};
}

std::optional<Address> SettingsFile::GetAddress(const std::string& key) {
  if (!impl_->Find(key))
    return std::nullopt;
  return RequireAddress(key);
}

std::vector<Address> SettingsFile::GetAddresses(const std::string& key) {
  const toml::node* node = impl_->Find(key);
  std::vector<Address> addresses;
  if (!node)
    return addresses;
  const toml::array* array = node->as_array();
  if (!array) {
    impl_->AddFault(key, node, "a list of addresses ip:port is allowed");
    return addresses;
  }
  for (const toml::node& element : *array) {
    const auto address = ParseAddress(element.value_or(std::string()));
    if (address)
      addresses.push_back(*address);
    else
      impl_->AddFault(key, &element, "each entry must be an address ip:port");
  }
  return addresses;
}

std::vector<SettingsFault> SettingsFile::FinishAndTakeFaults() {
  impl_->CheckUnknown(impl_->table, "");
  return std::move(impl_->faults);
}

}  // namespace yuccastair::support
