// Reads the log lines of processes.

#ifndef YUCCASTAIR_LIB_CTL_LOG_LINES_H_
#define YUCCASTAIR_LIB_CTL_LOG_LINES_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace yuccastair::ctl {

/// Returns the time of a line since the Unix epoch; nothing if it has none.
std::optional<std::chrono::microseconds> TimeOf(const nlohmann::json& line);

/// Returns the log lines of the files in \p paths, which are separated by
/// commas, leaving out what is not a line of a process. What stands before the
/// line itself, such as the mark of a log collector, is passed over. Throws
/// UsageError if there is no path and support::Error if a file cannot be read
/// or holds no line.
std::vector<nlohmann::json> ReadLogs(const std::string& paths);

}  // namespace yuccastair::ctl

#endif  // YUCCASTAIR_LIB_CTL_LOG_LINES_H_
