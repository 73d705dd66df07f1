// Parses one JSON object a line.

#include "log_lines.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <utility>

#include "command.h"
#include "yuccastair/support/error.h"

namespace yuccastair::ctl {
namespace {

using Json = nlohmann::json;
using std::chrono::microseconds;

void ReadLines(const std::string& path, std::vector<Json>& lines) {
  std::ifstream in(path);
  if (!in)
    throw support::Error("read log", path, "the file cannot be read");
  const std::size_t before = lines.size();
  for (std::string text; std::getline(in, text);) {
    const std::size_t begin = std::min(text.find('{'), text.size());
    Json line = Json::parse(text.substr(begin), nullptr, false);
    if (line.is_object() && line.contains("event") && TimeOf(line))
      lines.push_back(std::move(line));
  }
  if (lines.size() == before)
    throw support::Error("read log", path, "it holds no line of a process");
}

}  // namespace

std::optional<microseconds> TimeOf(const Json& line) {
  const auto found = line.find("time");
  if (found == line.end() || !found->is_string())
    return std::nullopt;
  const auto& text = found->get_ref<const std::string&>();
  std::tm parts{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (rest == nullptr)
    return std::nullopt;
  const double fraction = *rest == '.' ? std::strtod(rest, nullptr) : 0;
  return std::chrono::seconds(timegm(&parts)) +
         microseconds(static_cast<std::int64_t>(fraction * 1e6));
}

std::vector<Json> ReadLogs(const std::string& paths) {
  std::vector<Json> lines;
  bool any = false;
  std::size_t begin = 0;
  while (begin <= paths.size()) {
    const std::size_t end = std::min(paths.find(',', begin), paths.size());
    if (end > begin) {
      ReadLines(paths.substr(begin, end - begin), lines);
      any = true;
    }
    begin = end + 1;
  }
  if (!any)
    throw UsageError("--log is required");
  return lines;
}

}  // namespace yuccastair::ctl
