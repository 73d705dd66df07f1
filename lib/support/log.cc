// JSON-line logging on top of spdlog.

#include "yuccastair/support/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>

namespace yuccastair::support {
namespace {

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::shared_ptr<spdlog::logger>& Logger() {
  static std::shared_ptr<spdlog::logger> logger;
  return logger;
}

}  // namespace

void InitLog(LogLevel level,
             const std::string& role,
             const std::string& instance) {
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  auto logger = std::make_shared<spdlog::logger>("yuccastair", sink);
  const nlohmann::json names = {{"role", role}, {"instance", instance}};
  std::string prefix = names.dump();
  prefix.pop_back();
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",)" +
                          prefix.substr(1) + ",%v}",
                      spdlog::pattern_time_type::utc);
  logger->set_level(ToSpdlog(level));
  logger->flush_on(spdlog::level::warn);
  Logger() = std::move(logger);
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  auto& logger = Logger();
  if (!logger || !logger->should_log(ToSpdlog(level)))
    return;
  nlohmann::json line = fields;
  line["event"] = event;
  std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  text.pop_back();
  logger->log(ToSpdlog(level), "{}", text.substr(1));
}

}  // namespace yuccastair::support
