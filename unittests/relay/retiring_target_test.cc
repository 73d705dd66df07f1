// Calls to a target that is about to leave.

#include <catch2/catch.hpp>

#include "proxy_fixture.h"
#include "scripted_target.h"

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;
using membership::ZoneUse;

class RetiringTarget : public ProxyFixture {
 protected:
  RetiringTarget() { Announce(target_, 1); }

  void AnnounceDraining() {
    Announcement announcement = *proxy_.tracker().latest_announcement();
    announcement.sequence = ++sequence_;
    announcement.state = AnnouncedState::kDraining;
    proxy_.OnAnnouncement(announcement);
  }

  ScriptedTarget target_{context_,
                         "HTTP/1.1 200 OK\r\nx-yuccastair-request-id: {id}\r\n"
                         "x-yuccastair-seal: s\r\nContent-Length: 0\r\n\r\n",
                         ScriptedTarget::AfterRequest::kKeep};
};

TEST_CASE_METHOD(RetiringTarget, "a retiring target says so and serves") {
  SECTION("while it drains") {
    AnnounceDraining();
  }
  SECTION("while its zone retires") {
    proxy_.SetZoneUse(ZoneUse::kRetiring);
  }
  CHECK(proxy_.Load().state() == wire::TARGET_STATE_RETIRING);
  CHECK(Run("r1").outcome == wire::OUTCOME_OK);
  proxy_.SetZoneUse(ZoneUse::kOut);
  CHECK(proxy_.Load().state() == wire::TARGET_STATE_LEAVING);
  CHECK(Run("r2").outcome == wire::OUTCOME_NOT_RUN);
  CHECK(target_.requests().size() == 1);
}

// Guards against calls that wait in the queue of a target until after its
// retirement and then reach it.
TEST_CASE_METHOD(RetiringTarget, "calls that are still queued do not run") {
  target_.DelayResponses([](const std::string&) { return 100ms; });
  RelayCall first;
  RelayCall queued;
  Fill(first, "r1");
  Fill(queued, "r2");
  CallResult results[2];
  int done = 0;
  const auto run = [&](RelayCall& call, CallResult& result) {
    stream::asio::co_spawn(
        context_,
        [&]() -> stream::Task<void> {
          result = co_await proxy_.Run(call);
          ++done;
        },
        stream::asio::detached);
  };
  proxy_.SetZoneUse(ZoneUse::kRetiring);
  run(first, results[0]);
  run(queued, results[1]);
  context_.run_for(50ms);
  proxy_.SetZoneUse(ZoneUse::kOut);
  while (done < 2)
    context_.run_one();
  CHECK(results[0].outcome == wire::OUTCOME_OK);
  CHECK(results[1].outcome == wire::OUTCOME_NOT_RUN);
  CHECK(target_.requests().size() == 1);
}

}  // namespace
}  // namespace yuccastair::relay
