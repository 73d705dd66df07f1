// The bounded log of decisions.

#include "yuccastair/observe/decision_log.h"

#include <utility>

namespace yuccastair::observe {

DecisionLog::DecisionLog(std::size_t capacity) : capacity_(capacity) {}

void DecisionLog::Record(Decision decision) {
  std::lock_guard lock(mutex_);
  if (decisions_.size() >= capacity_) {
    const auto count = counts_.find(decisions_.front().request_id);
    if (--count->second == 0)
      counts_.erase(count);
    decisions_.pop_front();
  }
  ++counts_[decision.request_id];
  decisions_.push_back(std::move(decision));
}

std::vector<Decision> DecisionLog::Explain(
    const std::string& request_id) const {
  std::vector<Decision> found;
  std::lock_guard lock(mutex_);
  if (counts_.count(request_id) == 0)
    return found;
  for (const Decision& decision : decisions_) {
    if (decision.request_id == request_id)
      found.push_back(decision);
  }
  return found;
}

std::size_t DecisionLog::size() const {
  std::lock_guard lock(mutex_);
  return decisions_.size();
}

nlohmann::json ToJson(const Decision& decision) {
  return {{"request_id", decision.request_id},
          {"step", decision.step},
          {"verdict", decision.verdict},
          {"reason", decision.reason},
          {"numbers", decision.numbers},
          {"at_unix_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                             decision.at.time_since_epoch())
                             .count()}};
}

}  // namespace yuccastair::observe
