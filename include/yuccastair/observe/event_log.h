// What a process of the system did by itself, and the rule behind it.

#ifndef YUCCASTAIR_OBSERVE_EVENT_LOG_H_
#define YUCCASTAIR_OBSERVE_EVENT_LOG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace yuccastair::observe {

/// One action of the system, such as an ejection or a change of leader.
struct Event {
  /// Grows by one with each event of the process.
  std::uint64_t number = 0;
  std::chrono::system_clock::time_point at;
  /// Dotted and fixed, as in the log: "member.expired".
  std::string name;
  /// The rule that led to it, in words for operators.
  std::string rule;
  nlohmann::json fields = nlohmann::json::object();
};

/// The latest events of this process. Safe for use by several threads.
class EventLog {
 public:
  explicit EventLog(std::size_t capacity = 2000);

  /// Keeps the event and writes it to the log as well.
  void Record(const std::string& name,
              const std::string& rule,
              nlohmann::json fields = nlohmann::json::object());

  /// Returns the kept events with numbers above \p after, oldest first.
  std::vector<Event> Since(std::uint64_t after) const;

 private:
  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::uint64_t last_number_ = 0;
  // Oldest first, at most capacity_ entries.
  std::deque<Event> events_;
};

nlohmann::json ToJson(const Event& event);

}  // namespace yuccastair::observe

#endif  // YUCCASTAIR_OBSERVE_EVENT_LOG_H_
