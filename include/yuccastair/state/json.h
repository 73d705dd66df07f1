// JSON form of settings entries and changes, as operators exchange them.

#ifndef YUCCASTAIR_STATE_JSON_H_
#define YUCCASTAIR_STATE_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "state.pb.h"

namespace yuccastair::state {

/// Returns an entry without the salt and hash of a key.
nlohmann::json EntryToJson(const wire::SettingsEntry& entry);

/// Returns an edit with everything that a change needs.
nlohmann::json EditToJson(const wire::SettingsEdit& edit);

nlohmann::json ChangesToJson(
    const google::protobuf::RepeatedPtrField<wire::EntryChange>& changes);
nlohmann::json ChangesToJson(const std::vector<wire::EntryChange>& changes);
nlohmann::json RecordToJson(const wire::ChangeRecord& record);

/// Reads a change from outside; adds a fault for each thing that is missing,
/// unknown or of the wrong type. The rules on the values are not checked here.
wire::SettingsChange ChangeFromJson(const nlohmann::json& json,
                                    std::vector<std::string>& faults);

/// Returns the bytes of hexadecimal digits; empty if the text is something
/// else.
std::string FromHex(const std::string& text);
std::string ToHex(const std::string& bytes);

}  // namespace yuccastair::state

#endif  // YUCCASTAIR_STATE_JSON_H_
