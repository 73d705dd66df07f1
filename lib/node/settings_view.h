// This node's copy of the shared settings.

#ifndef YUCCASTAIR_LIB_NODE_SETTINGS_VIEW_H_
#define YUCCASTAIR_LIB_NODE_SETTINGS_VIEW_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sync.pb.h"
#include "yuccastair/state/schema.h"
#include "yuccastair/state/tree.h"

namespace yuccastair::node {

/// The value of every settings key at one location of the tree.
class EffectiveSettings {
 public:
  /// All keys at their defaults.
  EffectiveSettings();

  std::int64_t Get(state::SettingNumber number) const {
    return values_[number - 1];
  }
  bool GetBoolean(state::SettingNumber number) const {
    return Get(number) != 0;
  }
  void Set(std::uint32_t number, std::int64_t value);

 private:
  std::array<std::int64_t, state::kSettingCount> values_{};
};

struct Route {
  std::string name;
  std::string service;
  EffectiveSettings settings;
};

/// One version of the settings, with tables for look-ups. Immutable, so any
/// thread may read it without a lock.
class SettingsVersion {
 public:
  SettingsVersion() = default;
  SettingsVersion(std::uint64_t version, const state::SettingsTree& tree);

  /// Returns 0 before the first settings have arrived.
  std::uint64_t version() const { return version_; }

  /// Returns the organisation of a key, or an empty string for a key that is
  /// malformed, unknown or revoked.
  std::string FindOrganisationByKey(std::string_view key) const;

  /// Returns the route with the longest matching prefix of whole segments that
  /// accepts the method, or null. \p path has no query.
  const Route* FindRoute(std::string_view method, std::string_view path) const;

  /// Returns the settings of a service; for one without overrides, those of the
  /// fleet.
  const EffectiveSettings& ServiceSettings(std::string_view service) const;

  /// Returns null for an organisation that does not exist.
  const wire::Organisation* FindOrganisation(std::string_view name) const;

  const std::set<std::string>& zones_out() const { return zones_out_; }
  bool IsZoneInService(const std::string& zone) const {
    return zones_out_.count(zone) == 0;
  }

 private:
  struct StringHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  template <typename T>
  using StringMap =
      std::unordered_map<std::string, T, StringHash, std::equal_to<>>;

  struct MethodRoute {
    // Empty for any method.
    std::string method;
    Route route;
  };

  std::uint64_t version_ = 0;
  EffectiveSettings fleet_settings_;
  StringMap<EffectiveSettings> service_settings_;
  StringMap<std::vector<MethodRoute>> routes_by_path_;
  std::size_t max_route_path_bytes_ = 0;
  StringMap<wire::Organisation> organisations_;
  // By the id of the key; each id belongs to one key of one organisation.
  StringMap<std::vector<wire::Key>> keys_by_id_;
  std::set<std::string> zones_out_;
};

/// Applies updates from control processes and provides the current version.
class SettingsView {
 public:
  SettingsView();

  /// Applies the settings of a reply. Ignores settings older than the current
  /// ones. Returns whether this node now holds at least the version that the
  /// reply names; otherwise the next request asks for all settings. To be
  /// called by one thread only.
  bool Apply(const wire::SyncReply& reply);

  /// Returns the version to report in the next SyncRequest; 0 asks for all
  /// settings.
  std::uint64_t VersionToReport() const { return version_to_report_; }

  std::shared_ptr<const SettingsVersion> Current() const;

 private:
  bool ApplyUpdate(const std::string& encoded);

  // Used by the sync thread only.
  state::SettingsTree tree_;
  std::atomic<std::uint64_t> version_to_report_ = 0;

  // Guards current_; held only to copy or replace the pointer.
  mutable std::mutex mutex_;
  std::shared_ptr<const SettingsVersion> current_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_SETTINGS_VIEW_H_
