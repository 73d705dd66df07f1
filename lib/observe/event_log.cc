// The bounded log of events.

#include "yuccastair/observe/event_log.h"

#include <utility>

#include "yuccastair/support/log.h"

namespace yuccastair::observe {

EventLog::EventLog(std::size_t capacity) : capacity_(capacity) {}

void EventLog::Record(const std::string& name,
                      const std::string& rule,
                      nlohmann::json fields) {
  nlohmann::json line = fields;
  line["rule"] = rule;
  support::LogInfo(name, line);
  std::lock_guard lock(mutex_);
  events_.push_back({.number = ++last_number_,
                     .at = std::chrono::system_clock::now(),
                     .name = name,
                     .rule = rule,
                     .fields = std::move(fields)});
  if (events_.size() > capacity_)
    events_.pop_front();
}

std::vector<Event> EventLog::Since(std::uint64_t after) const {
  std::vector<Event> found;
  std::lock_guard lock(mutex_);
  for (const Event& event : events_) {
    if (event.number > after)
      found.push_back(event);
  }
  return found;
}

nlohmann::json ToJson(const Event& event) {
  return {{"number", event.number},
          {"at_unix_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                             event.at.time_since_epoch())
                             .count()},
          {"name", event.name},
          {"rule", event.rule},
          {"fields", event.fields}};
}

}  // namespace yuccastair::observe
