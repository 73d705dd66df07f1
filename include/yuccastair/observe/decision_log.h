// Why a request was rejected or retried: the rule and the numbers that it saw.

#ifndef YUCCASTAIR_OBSERVE_DECISION_LOG_H_
#define YUCCASTAIR_OBSERVE_DECISION_LOG_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccastair::observe {

/// One decision about one request.
struct Decision {
  std::string request_id;
  /// The duty that decided, for example "rate" or "admission".
  std::string step;
  /// What was decided, for example "rejected" or "retried".
  std::string verdict;
  std::string reason;
  nlohmann::json numbers = nlohmann::json::object();
  std::chrono::system_clock::time_point at;
};

/// The latest decisions of this process. Safe for use by several threads.
class DecisionLog {
 public:
  explicit DecisionLog(std::size_t capacity = 20000);

  void Record(Decision decision);

  /// Returns the decisions about a request, oldest first; empty if there were
  /// none or they have been displaced by later ones.
  std::vector<Decision> Explain(const std::string& request_id) const;

  std::size_t size() const;

 private:
  const std::size_t capacity_;
  mutable std::mutex mutex_;
  // Oldest first, at most capacity_ entries.
  std::deque<Decision> decisions_;
  // Number of entries of decisions_ for each request, so that a look-up for an
  // unknown request does not scan.
  std::unordered_map<std::string, std::size_t> counts_;
};

nlohmann::json ToJson(const Decision& decision);

}  // namespace yuccastair::observe

#endif  // YUCCASTAIR_OBSERVE_DECISION_LOG_H_
