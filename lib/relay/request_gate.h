// Counts the requests that a relay works on.

#ifndef YUCCASTAIR_LIB_RELAY_REQUEST_GATE_H_
#define YUCCASTAIR_LIB_RELAY_REQUEST_GATE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace yuccastair::relay {

/// Counts, by route, the requests that have entered and have no answer yet.
/// Used on one thread.
class RequestGate {
 public:
  using RouteCounts = std::map<std::string, std::size_t>;

  /// Counts a request for as long as it exists. May outlive the gate.
  class Pass {
   public:
    Pass(std::shared_ptr<RouteCounts> counts, std::string route)
        : counts_(std::move(counts)), route_(std::move(route)) {
      ++(*counts_)[route_];
    }
    ~Pass() {
      const auto found = counts_->find(route_);
      if (--found->second == 0)
        counts_->erase(found);
    }
    Pass(const Pass&) = delete;
    Pass& operator=(const Pass&) = delete;

   private:
    const std::shared_ptr<RouteCounts> counts_;
    const std::string route_;
  };

  std::unique_ptr<Pass> Enter(const std::string& route) {
    return std::make_unique<Pass>(counts_, route);
  }

  /// The requests that have entered and have no answer yet.
  const RouteCounts& inside() const { return *counts_; }

 private:
  // Routes without requests have no entry.
  const std::shared_ptr<RouteCounts> counts_ = std::make_shared<RouteCounts>();
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_REQUEST_GATE_H_
