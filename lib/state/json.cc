// Conversions between JSON and the messages of the settings.

#include "yuccastair/state/json.h"

#include <sodium.h>

#include <optional>
#include <set>

#include "yuccastair/state/schema.h"
#include "yuccastair/state/tree.h"

namespace yuccastair::state {
namespace {

using Json = nlohmann::json;

Json ValueToJson(const SettingKey& key, std::int64_t value) {
  switch (key.type) {
    case SettingType::kInteger:
      return value;
    case SettingType::kBoolean:
      return value != 0;
    case SettingType::kShare:
      return static_cast<double>(value) / static_cast<double>(kShareUnit);
    default:
      return FormatSetting(key, value);
  }
}

std::optional<std::int64_t> ValueFromJson(const SettingKey& key,
                                          const Json& value) {
  if (value.is_string())
    return ParseSetting(key, value.get<std::string>());
  if (!value.is_number_float())
    return ParseSetting(key, value.dump());
  return ParseSetting(key, value.get<double>());
}

/// Access to one JSON object that collects faults, also for unknown members.
class ObjectReader {
 public:
  ObjectReader(const Json& object,
               std::string where,
               std::vector<std::string>& faults)
      : object_(object), where_(std::move(where)), faults_(faults) {
    if (!object_.is_object())
      Fault("a JSON object is expected");
  }

  bool Has(const char* name) const {
    return object_.is_object() && object_.contains(name);
  }

  std::string Text(const char* name, bool required) {
    const Json* value = Find(name, required);
    if (!value)
      return "";
    if (value->is_string())
      return value->get<std::string>();
    Fault(std::string(name) + " must be a string");
    return "";
  }

  std::uint64_t Unsigned(const char* name, bool required) {
    const Json* value = Find(name, required);
    if (!value)
      return 0;
    if (value->is_number_unsigned() ||
        (value->is_number_integer() && value->get<std::int64_t>() >= 0))
      return value->get<std::uint64_t>();
    Fault(std::string(name) + " must be a whole number from 0 on");
    return 0;
  }

  double Number(const char* name) {
    const Json* value = Find(name, true);
    if (!value)
      return 0;
    if (value->is_number())
      return value->get<double>();
    Fault(std::string(name) + " must be a number");
    return 0;
  }

  bool Flag(const char* name) {
    const Json* value = Find(name, false);
    if (!value)
      return false;
    if (value->is_boolean())
      return value->get<bool>();
    Fault(std::string(name) + " must be true or false");
    return false;
  }

  const Json* Find(const char* name, bool required) {
    known_.insert(name);
    if (Has(name))
      return &object_.at(name);
    if (required && object_.is_object())
      Fault(std::string(name) + " is missing");
    return nullptr;
  }

  void Fault(const std::string& fault) {
    faults_.push_back(where_ + ": " + fault);
  }

  void FaultUnknown() {
    if (!object_.is_object())
      return;
    for (const auto& [name, value] : object_.items()) {
      if (known_.count(name) == 0)
        Fault("unknown member " + name.substr(0, 64));
    }
  }

 private:
  const Json& object_;
  const std::string where_;
  std::vector<std::string>& faults_;
  std::set<std::string> known_;
};

void ReadSetting(ObjectReader& reader,
                 bool removal,
                 wire::SettingValue& setting) {
  const auto level = ParseLevel(reader.Text("level", true));
  if (level)
    setting.set_level(*level);
  else
    reader.Fault("level must be fleet, deployment, service or route");
  setting.set_name(reader.Text("name", false));
  const std::string name = reader.Text("key", true);
  const Json* value = reader.Find("value", !removal);
  const SettingKey* key = FindSettingKey(name);
  if (!key) {
    reader.Fault("unknown settings key " + name.substr(0, 64) +
                 "; did you mean " + NearestSettingName(name) + "?");
    return;
  }
  setting.set_key(key->number);
  if (removal || !value)
    return;
  const auto parsed = ValueFromJson(*key, *value);
  if (parsed)
    setting.set_value(*parsed);
  else
    reader.Fault(std::string(key->name) + " = " + value->dump().substr(0, 64) +
                 ": must be " + DescribeAllowed(*key));
}

void ReadKey(ObjectReader& reader, bool removal, wire::Key& key) {
  key.set_organisation(reader.Text("organisation", true));
  key.set_id(reader.Text("id", true));
  const std::string salt = reader.Text("salt", !removal);
  const std::string hash = reader.Text("hash", !removal);
  if (removal)
    return;
  key.set_salt(FromHex(salt));
  key.set_hash(FromHex(hash));
}

wire::SettingsEdit EditFromJson(const Json& json,
                                const std::string& where,
                                std::vector<std::string>& faults) {
  wire::SettingsEdit edit;
  wire::SettingsEntry& entry = *edit.mutable_entry();
  ObjectReader reader(json, where, faults);
  const std::string kind = reader.Text("kind", true);
  const bool removal = reader.Flag("remove");
  edit.set_remove(removal);
  if (kind == "setting") {
    ReadSetting(reader, removal, *entry.mutable_setting());
  } else if (kind == "service") {
    entry.mutable_service()->set_name(reader.Text("name", true));
    entry.mutable_service()->set_deployment(
        reader.Text("deployment", !removal));
  } else if (kind == "route") {
    wire::RouteDefinition& route = *entry.mutable_route();
    route.set_name(reader.Text("name", true));
    route.set_service(reader.Text("service", !removal));
    route.set_method(reader.Text("method", false));
    route.set_path(reader.Text("path", !removal));
  } else if (kind == "organisation") {
    wire::Organisation& organisation = *entry.mutable_organisation();
    organisation.set_name(reader.Text("name", true));
    if (!removal || reader.Has("rate"))
      organisation.set_rate(reader.Number("rate"));
    if (!removal || reader.Has("burst"))
      organisation.set_burst(reader.Number("burst"));
  } else if (kind == "key") {
    ReadKey(reader, removal, *entry.mutable_key());
  } else if (kind == "zone") {
    entry.mutable_zone_out()->set_name(reader.Text("name", true));
  } else {
    reader.Fault(
        "kind must be setting, service, route, organisation, key or zone");
  }
  reader.FaultUnknown();
  return edit;
}

template <typename Changes>
Json ChangeList(const Changes& changes) {
  Json list = Json::array();
  for (const wire::EntryChange& change : changes) {
    Json item = {{"entry", EntryId(change.has_after() ? change.after()
                                                      : change.before())}};
    if (change.has_before())
      item["before"] = EntryToJson(change.before());
    if (change.has_after())
      item["after"] = EntryToJson(change.after());
    list.push_back(std::move(item));
  }
  return list;
}

}  // namespace

std::string FromHex(const std::string& text) {
  std::string bytes(text.size() / 2, '\0');
  std::size_t length = 0;
  if (text.size() % 2 != 0 ||
      sodium_hex2bin(reinterpret_cast<unsigned char*>(bytes.data()),
                     bytes.size(), text.data(), text.size(), nullptr, &length,
                     nullptr) != 0 ||
      length != bytes.size())
    return "";
  return bytes;
}

std::string ToHex(const std::string& bytes) {
  std::string text(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(),
                 reinterpret_cast<const unsigned char*>(bytes.data()),
                 bytes.size());
  text.pop_back();
  return text;
}

Json EntryToJson(const wire::SettingsEntry& entry) {
  switch (entry.entry_case()) {
    case wire::SettingsEntry::kSetting: {
      const wire::SettingValue& setting = entry.setting();
      const SettingKey* key = FindSettingKey(setting.key());
      Json json = {{"kind", "setting"},
                   {"level", LevelName(setting.level())},
                   {"key", key ? key->name : std::to_string(setting.key())},
                   {"value", key ? ValueToJson(*key, setting.value())
                                 : Json(setting.value())}};
      if (setting.level() != wire::SETTINGS_LEVEL_FLEET)
        json["name"] = setting.name();
      return json;
    }
    case wire::SettingsEntry::kService:
      return {{"kind", "service"},
              {"name", entry.service().name()},
              {"deployment", entry.service().deployment()}};
    case wire::SettingsEntry::kRoute:
      return {{"kind", "route"},
              {"name", entry.route().name()},
              {"service", entry.route().service()},
              {"method", entry.route().method()},
              {"path", entry.route().path()}};
    case wire::SettingsEntry::kOrganisation:
      return {{"kind", "organisation"},
              {"name", entry.organisation().name()},
              {"rate", entry.organisation().rate()},
              {"burst", entry.organisation().burst()}};
    case wire::SettingsEntry::kKey:
      return {{"kind", "key"},
              {"organisation", entry.key().organisation()},
              {"id", entry.key().id()}};
    case wire::SettingsEntry::kZoneOut:
      return {{"kind", "zone"}, {"name", entry.zone_out().name()}};
    case wire::SettingsEntry::ENTRY_NOT_SET:
      break;
  }
  return Json::object();
}

Json EditToJson(const wire::SettingsEdit& edit) {
  Json json = EntryToJson(edit.entry());
  if (edit.remove()) {
    json["remove"] = true;
    json.erase("value");
  } else if (edit.entry().has_key()) {
    json["salt"] = ToHex(edit.entry().key().salt());
    json["hash"] = ToHex(edit.entry().key().hash());
  }
  return json;
}

Json ChangesToJson(
    const google::protobuf::RepeatedPtrField<wire::EntryChange>& changes) {
  return ChangeList(changes);
}

Json ChangesToJson(const std::vector<wire::EntryChange>& changes) {
  return ChangeList(changes);
}

Json RecordToJson(const wire::ChangeRecord& record) {
  return {
      {"version", record.version()}, {"operation_id", record.operation_id()},
      {"author", record.author()},   {"comment", record.comment()},
      {"at_ms", record.at_ms()},     {"changes", ChangeList(record.changes())}};
}

wire::SettingsChange ChangeFromJson(const Json& json,
                                    std::vector<std::string>& faults) {
  wire::SettingsChange change;
  ObjectReader reader(json, "change", faults);
  change.set_operation_id(reader.Text("operation_id", true));
  change.set_base_version(reader.Unsigned("base_version", true));
  change.set_author(reader.Text("author", false));
  change.set_comment(reader.Text("comment", false));
  if (reader.Has("rollback_to"))
    change.set_rollback_to(reader.Unsigned("rollback_to", true));
  if (const Json* edits = reader.Find("edits", !change.has_rollback_to())) {
    if (!edits->is_array())
      reader.Fault("edits must be an array");
    else
      for (std::size_t i = 0; i < edits->size(); ++i)
        *change.add_edits() =
            EditFromJson(edits->at(i), "edit " + std::to_string(i + 1), faults);
  }
  reader.FaultUnknown();
  return change;
}

}  // namespace yuccastair::state
