// Builds settings edits and changes for tests.

#ifndef YUCCASTAIR_UNITTESTS_SETTINGS_CHANGES_H_
#define YUCCASTAIR_UNITTESTS_SETTINGS_CHANGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state.pb.h"
#include "yuccastair/state/schema.h"
#include "yuccastair/state/settings_machine.h"

namespace yuccastair {

inline wire::SettingsEdit Set(wire::SettingsLevel level,
                              const std::string& name,
                              state::SettingNumber key,
                              std::int64_t value) {
  wire::SettingsEdit edit;
  wire::SettingValue& setting = *edit.mutable_entry()->mutable_setting();
  setting.set_level(level);
  setting.set_name(name);
  setting.set_key(key);
  setting.set_value(value);
  return edit;
}

inline wire::SettingsEdit SetFleet(state::SettingNumber key,
                                   std::int64_t value) {
  return Set(wire::SETTINGS_LEVEL_FLEET, "", key, value);
}

inline wire::SettingsEdit PutRoute(const std::string& name,
                                   const std::string& service,
                                   const std::string& method,
                                   const std::string& path) {
  wire::SettingsEdit edit;
  wire::RouteDefinition& route = *edit.mutable_entry()->mutable_route();
  route.set_name(name);
  route.set_service(service);
  route.set_method(method);
  route.set_path(path);
  return edit;
}

inline wire::SettingsEdit PutService(const std::string& name,
                                     const std::string& deployment) {
  wire::SettingsEdit edit;
  edit.mutable_entry()->mutable_service()->set_name(name);
  edit.mutable_entry()->mutable_service()->set_deployment(deployment);
  return edit;
}

inline wire::SettingsEdit PutOrganisation(const std::string& name,
                                          double rate,
                                          double burst) {
  wire::SettingsEdit edit;
  wire::Organisation& entry = *edit.mutable_entry()->mutable_organisation();
  entry.set_name(name);
  entry.set_rate(rate);
  entry.set_burst(burst);
  return edit;
}

inline wire::SettingsEdit PutKey(const wire::Key& key) {
  wire::SettingsEdit edit;
  *edit.mutable_entry()->mutable_key() = key;
  return edit;
}

inline wire::SettingsEdit PutZoneOut(const std::string& name) {
  wire::SettingsEdit edit;
  edit.mutable_entry()->mutable_zone_out()->set_name(name);
  return edit;
}

inline wire::SettingsEdit Remove(wire::SettingsEdit edit) {
  edit.set_remove(true);
  return edit;
}

inline wire::SettingsChange MakeChange(
    const std::string& operation_id,
    std::uint64_t base_version,
    const std::vector<wire::SettingsEdit>& edits) {
  wire::SettingsChange change;
  change.set_operation_id(operation_id);
  change.set_base_version(base_version);
  for (const wire::SettingsEdit& edit : edits)
    *change.add_edits() = edit;
  return change;
}

inline wire::SettingsResult Apply(state::SettingsMachine& machine,
                                  const wire::SettingsChange& change) {
  wire::SettingsResult result;
  result.ParseFromString(machine.Apply(1, change.SerializeAsString()));
  return result;
}

/// Applies edits on top of the current version under a new operation id.
inline wire::SettingsResult ApplyNext(
    state::SettingsMachine& machine,
    const std::vector<wire::SettingsEdit>& edits) {
  return Apply(machine, MakeChange("next-" + std::to_string(machine.version()),
                                   machine.version(), edits));
}

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_SETTINGS_CHANGES_H_
