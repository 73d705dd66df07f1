// JSON-line logging on top of spdlog.

#include "yuccastair/support/log.h"

#include <spdlog/async.h>
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

// Lines that wait for the writer. A process writes some hundred lines a second
// at most; the oldest ones are dropped when nobody reads them.
constexpr std::size_t kWaitingLines = 1024;

struct Writer {
  // Owns the writing thread, so it ends after the logger.
  std::shared_ptr<spdlog::details::thread_pool> thread;
  std::shared_ptr<spdlog::logger> logger;
};

Writer& TheWriter() {
  static Writer writer;
  return writer;
}

}  // namespace

void InitLog(LogLevel level,
             const std::string& role,
             const std::string& instance) {
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  auto thread =
      std::make_shared<spdlog::details::thread_pool>(kWaitingLines, 1);
  auto logger = std::make_shared<spdlog::async_logger>(
      "yuccastair", sink, thread,
      spdlog::async_overflow_policy::overrun_oldest);
  const nlohmann::json names = {{"role", role}, {"instance", instance}};
  std::string prefix = names.dump();
  prefix.pop_back();
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",)" +
                          prefix.substr(1) + ",%v}",
                      spdlog::pattern_time_type::utc);
  logger->set_level(ToSpdlog(level));
  ShutdownLog();
  TheWriter() = {std::move(thread), std::move(logger)};
}

void ShutdownLog() {
  TheWriter().logger.reset();
  TheWriter().thread.reset();
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  const auto& logger = TheWriter().logger;
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
