// Structured logs: one JSON object a line on standard output.

#ifndef YUCCASTAIR_SUPPORT_LOG_H_
#define YUCCASTAIR_SUPPORT_LOG_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace yuccastair::support {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets the process-wide logger. \p role and \p instance appear in every line.
/// A thread of its own writes the lines, so that no other one waits for a
/// reader; the oldest lines are dropped if there are too many. Signals that the
/// process waits for have to be blocked before.
void InitLog(LogLevel level,
             const std::string& role,
             const std::string& instance);

/// Writes the lines that wait and ends the logger.
void ShutdownLog();

/// Writes one line with the event name (dotted, fixed) and its fields.
void Log(LogLevel level,
         std::string_view event,
         const nlohmann::json& fields = nlohmann::json::object());

inline void LogDebug(std::string_view event,
                     const nlohmann::json& fields = nlohmann::json::object()) {
  Log(LogLevel::kDebug, event, fields);
}
inline void LogInfo(std::string_view event,
                    const nlohmann::json& fields = nlohmann::json::object()) {
  Log(LogLevel::kInfo, event, fields);
}
inline void LogWarning(
    std::string_view event,
    const nlohmann::json& fields = nlohmann::json::object()) {
  Log(LogLevel::kWarning, event, fields);
}
inline void LogError(std::string_view event,
                     const nlohmann::json& fields = nlohmann::json::object()) {
  Log(LogLevel::kError, event, fields);
}

}  // namespace yuccastair::support

#endif  // YUCCASTAIR_SUPPORT_LOG_H_
