// A control link on an io_context that the test runs.

#ifndef YUCCASTAIR_UNITTESTS_RELAY_CONTROL_LINK_FIXTURE_H_
#define YUCCASTAIR_UNITTESTS_RELAY_CONTROL_LINK_FIXTURE_H_

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "control_link.h"

namespace yuccastair::relay {

class ControlLinkFixture {
 protected:
  void Start(std::vector<std::string> seeds) {
    ControlLink::Options options;
    options.seeds = std::move(seeds);
    options.node_id = "node";
    options.availability_zone = "a";
    options.fill_request = [](wire::SyncRequest&) {};
    options.apply_reply = [this](const wire::SyncReply& reply) {
      applied_ages_.push_back(reply.age_ms());
    };
    options.apply_grant = [](const wire::RateGrant&) {};
    options.reload_seeds = [this] { ++reload_count_; };
    link_ = std::make_unique<ControlLink>(context_, clock_, metrics_, traffic_,
                                          std::move(options));
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const support::TimePoint end = clock_.Now() + std::chrono::seconds(30);
    while (!condition() && clock_.Now() < end)
      context_.run_for(std::chrono::milliseconds(10));
    return condition();
  }

  /// Whether the relay's view is more recent than a stale view.
  bool IsFresh() const {
    return clock_.Now() - link_->current_as_of() < std::chrono::seconds(4);
  }

  stream::asio::io_context context_;
  support::SteadyClock clock_;
  observe::Metrics metrics_;
  TrafficCounts traffic_{metrics_, "a"};
  int reload_count_ = 0;
  // Ages of the views that were applied, in ms.
  std::vector<std::uint32_t> applied_ages_;
  std::unique_ptr<ControlLink> link_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_UNITTESTS_RELAY_CONTROL_LINK_FIXTURE_H_
