// Which control process a relay asks when one does not answer or is cut off.

#include "control_link.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "control_stand_in.h"

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;

class LinkFixture {
 protected:
  void Start(std::vector<std::string> seeds) {
    ControlLink::Options options;
    options.seeds = std::move(seeds);
    options.node_id = "node";
    options.fill = [](wire::SyncRequest&) {};
    options.apply = [](const wire::SyncReply&) {};
    options.apply_grant = [](const wire::RateGrant&) {};
    options.refresh_seeds = [this] { ++refreshed_; };
    link_ = std::make_unique<ControlLink>(context_, clock_, metrics_,
                                          std::move(options));
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const support::TimePoint end = clock_.Now() + 30s;
    while (!condition() && clock_.Now() < end)
      context_.run_for(10ms);
    return condition();
  }

  /// Whether what the relay knows is less old than an old view.
  bool IsFresh() const { return clock_.Now() - link_->fresh_at() < 4s; }

  stream::asio::io_context context_;
  support::SteadyClock clock_;
  observe::Metrics metrics_;
  int refreshed_ = 0;
  std::unique_ptr<ControlLink> link_;
};

// Guards against a relay that stays with a control process whose view is old,
// and so misses a policy that is in force everywhere else.
TEST_CASE_METHOD(LinkFixture, "a control process with an old view is left") {
  // Which one is asked first depends on their addresses.
  const bool first_is_old = GENERATE(true, false);
  CAPTURE(first_is_old);
  ControlStandIn one("127.0.0.1:26001", first_is_old ? 5000 : 0);
  ControlStandIn two("127.0.0.1:26002", first_is_old ? 0 : 5000);
  Start({"127.0.0.1:26001", "127.0.0.1:26002"});
  REQUIRE(RunUntil([&] { return IsFresh(); }));
  CHECK((first_is_old ? one : two).asked() <= 1);
}

TEST_CASE_METHOD(LinkFixture, "a silent control process is left") {
  ControlStandIn control("127.0.0.1:26003", 0);
  Start({"127.0.0.1:26003", "127.0.0.1:26004"});
  CHECK(RunUntil([&] { return IsFresh(); }));
}

// Guards against a log that does not tell a path that is cut from a control
// process that does not answer or is behind.
TEST_CASE_METHOD(LinkFixture, "a vain sync is counted under its reason") {
  const auto lost = [this](const std::string& reason) {
    return metrics_.CounterValue("yuccastair_control_lost_total",
                                 {{"reason", reason}});
  };
  SECTION("nobody listens") {
    Start({"127.0.0.1:26009"});
    CHECK(RunUntil([&] { return lost("no connection") > 0; }));
  }
  SECTION("the view is old") {
    ControlStandIn control("127.0.0.1:26010", 5000);
    Start({"127.0.0.1:26010"});
    CHECK(RunUntil([&] { return lost("old view") > 0; }));
  }
}

// Guards against seeds that are never read again after all have moved.
TEST_CASE_METHOD(LinkFixture, "seeds are read anew when nobody answers") {
  Start({"127.0.0.1:26005"});
  CHECK(RunUntil([&] { return refreshed_ > 0; }));
  ControlStandIn control("127.0.0.1:26006", 0);
  link_->SetSeeds({"127.0.0.1:26006"});
  CHECK(RunUntil([&] { return IsFresh(); }));
}

// Guards against a division by the number of addresses where there are none.
TEST_CASE_METHOD(LinkFixture, "a relay without seeds waits for some") {
  Start({"127.0.0.1:26007"});
  context_.run_for(20ms);
  link_->SetSeeds({});
  context_.run_for(1000ms);
  ControlStandIn control("127.0.0.1:26008", 0);
  link_->SetSeeds({"127.0.0.1:26008"});
  CHECK(RunUntil([&] { return IsFresh(); }));
}

}  // namespace
}  // namespace yuccastair::relay
