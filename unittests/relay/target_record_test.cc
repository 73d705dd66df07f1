// Tests the order and the effects of a target's announcements.

#include "target_tracker.h"

#include <catch2/catch.hpp>

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;
using AnnouncementEffect = TargetTracker::AnnouncementEffect;

Announcement Announced(const std::string& id,
                       std::uint64_t started,
                       std::uint64_t sequence,
                       AnnouncedState state = AnnouncedState::kReady) {
  Announcement announcement;
  announcement.target_id = id;
  announcement.started_ms = started;
  announcement.sequence = sequence;
  announcement.state = state;
  announcement.slots = 10;
  return announcement;
}

class TrackerFixture {
 protected:
  support::ManualClock clock_;
  TargetTracker tracker_{clock_, 2000ms};
};

// Guards against a late announcement that makes a leaving target available
// again.
TEST_CASE_METHOD(TrackerFixture, "a late announcement changes nothing") {
  CHECK(tracker_.Apply(Announced("a", 5, 1)) == AnnouncementEffect::kUpdated);
  CHECK(tracker_.Apply(Announced("a", 5, 3, AnnouncedState::kDraining)) ==
        AnnouncementEffect::kUpdated);
  CHECK(tracker_.Apply(Announced("a", 5, 2)) == AnnouncementEffect::kIgnored);
  CHECK(tracker_.Apply(Announced("a", 5, 3)) == AnnouncementEffect::kIgnored);
  CHECK(tracker_.State() == wire::TARGET_STATE_DRAINING);
}

// Guards against a delayed announcement of a crashed process that replaces the
// one of its successor at the same address.
TEST_CASE_METHOD(TrackerFixture,
                 "an announcement of an earlier process is ignored") {
  tracker_.Apply(Announced("a", 5, 9));
  CHECK(tracker_.Apply(Announced("b", 7, 1)) == AnnouncementEffect::kRestarted);
  CHECK(tracker_.Apply(Announced("a", 5, 10)) == AnnouncementEffect::kIgnored);
  CHECK(tracker_.latest_announcement()->target_id == "b");
}

TEST_CASE_METHOD(TrackerFixture,
                 "without a start time the id identifies the process") {
  tracker_.Apply(Announced("a", 0, 9));
  CHECK(tracker_.Apply(Announced("b", 0, 1)) == AnnouncementEffect::kRestarted);
  CHECK(tracker_.Apply(Announced("a", 0, 10)) == AnnouncementEffect::kIgnored);
}

// Guards against a sequence number of an earlier start: the sequence restarts.
TEST_CASE_METHOD(TrackerFixture,
                 "a restart under the same id is a new process") {
  tracker_.Apply(Announced("a", 5, 9));
  CHECK(tracker_.Apply(Announced("a", 8, 1)) == AnnouncementEffect::kRestarted);
  CHECK(tracker_.Apply(Announced("a", 5, 10)) == AnnouncementEffect::kIgnored);
}

TEST_CASE_METHOD(TrackerFixture,
                 "a deregistration affects only its own process") {
  tracker_.Apply(Announced("a", 5, 1));
  CHECK(tracker_.Apply(Announced("z", 0, 0, AnnouncedState::kDeregistered)) ==
        AnnouncementEffect::kIgnored);
  CHECK(tracker_.Apply(Announced("a", 4, 0, AnnouncedState::kDeregistered)) ==
        AnnouncementEffect::kIgnored);
  CHECK(tracker_.Apply(Announced("a", 5, 0, AnnouncedState::kDeregistered)) ==
        AnnouncementEffect::kUpdated);
  CHECK(tracker_.State() == wire::TARGET_STATE_LEAVING);
  CHECK(tracker_.Apply(Announced("a", 5, 7)) == AnnouncementEffect::kIgnored);
}

// Guards against a target that is taken for ready after its relay, which had
// just restarted, acknowledged its deregistration.
TEST_CASE_METHOD(TrackerFixture,
                 "a target that deregisters first does not become available") {
  tracker_.Apply(Announced("a", 5, 0, AnnouncedState::kDeregistered));
  CHECK(tracker_.Apply(Announced("a", 5, 9)) == AnnouncementEffect::kIgnored);
  CHECK(tracker_.State() == wire::TARGET_STATE_DOWN);
  CHECK_FALSE(tracker_.AcceptsRequests());
  SECTION("nor does an earlier process with its id") {
    CHECK(tracker_.Apply(Announced("a", 4, 9)) == AnnouncementEffect::kIgnored);
  }
  SECTION("nor does one whose deregistration was sent twice") {
    tracker_.Apply(Announced("a", 5, 0, AnnouncedState::kDeregistered));
    CHECK(tracker_.Apply(Announced("a", 5, 9)) == AnnouncementEffect::kIgnored);
  }
  SECTION("a later process with its id does") {
    CHECK(tracker_.Apply(Announced("a", 6, 1)) == AnnouncementEffect::kUpdated);
    CHECK(tracker_.AcceptsRequests());
  }
  SECTION("a process with another id does") {
    CHECK(tracker_.Apply(Announced("b", 6, 1)) == AnnouncementEffect::kUpdated);
    CHECK(tracker_.AcceptsRequests());
  }
}

// Guards against the same for targets that report no start time, and against
// targets that never become available again.
TEST_CASE_METHOD(TrackerFixture,
                 "a deregistration without a start time affects one process") {
  tracker_.Apply(Announced("a", 0, 0, AnnouncedState::kDeregistered));
  CHECK(tracker_.Apply(Announced("a", 5, 9)) == AnnouncementEffect::kIgnored);
  CHECK(tracker_.Apply(Announced("a", 6, 1)) == AnnouncementEffect::kUpdated);
}

// Guards against the same at a relay that knows the predecessor of the target.
TEST_CASE_METHOD(TrackerFixture,
                 "a successor that deregisters first does not become "
                 "available") {
  tracker_.Apply(Announced("a", 5, 9));
  SECTION("under an id of its own") {
    tracker_.Apply(Announced("b", 7, 0, AnnouncedState::kDeregistered));
    CHECK(tracker_.Apply(Announced("b", 7, 1)) == AnnouncementEffect::kIgnored);
    CHECK(tracker_.latest_announcement()->target_id == "a");
  }
  SECTION("under the same id") {
    CHECK(tracker_.Apply(Announced("a", 7, 0, AnnouncedState::kDeregistered)) ==
          AnnouncementEffect::kUpdated);
    CHECK(tracker_.State() == wire::TARGET_STATE_LEAVING);
    CHECK(tracker_.Apply(Announced("a", 7, 1)) == AnnouncementEffect::kIgnored);
    CHECK(tracker_.Apply(Announced("a", 5, 10)) ==
          AnnouncementEffect::kIgnored);
    clock_.Advance(1000ms);
    CHECK_FALSE(tracker_.AcceptsRequests());
  }
}

// Guards against requests that reach a draining target after its drain time.
TEST_CASE_METHOD(TrackerFixture,
                 "a draining target accepts requests for a while") {
  tracker_.Apply(Announced("a", 5, 1));
  tracker_.Apply(Announced("a", 5, 2, AnnouncedState::kDraining));
  CHECK(tracker_.AcceptsRequests());
  // Further announcements do not restart the drain time.
  clock_.Advance(900ms);
  tracker_.Apply(Announced("a", 5, 3, AnnouncedState::kDraining));
  CHECK(tracker_.AcceptsRequests());
  clock_.Advance(200ms);
  CHECK_FALSE(tracker_.AcceptsRequests());
}

// Guards against the same where control processes hand a departure back to a
// relay that has restarted and has taken a late announcement for current.
TEST_CASE_METHOD(TrackerFixture,
                 "a departure of long ago leaves no time to drain") {
  tracker_.Apply(Announced("a", 5, 1));
  const auto state =
      GENERATE(AnnouncedState::kDraining, AnnouncedState::kDeregistered);
  tracker_.Apply(Announced("a", 5, 2, state), 2000ms);
  CHECK_FALSE(tracker_.AcceptsRequests());
}

// Guards against a drain time that starts anew when a relay has restarted.
TEST_CASE_METHOD(TrackerFixture,
                 "a target that is first known as draining accepts nothing") {
  SECTION("at a relay that knows no target") {}
  SECTION("at a relay that knows its predecessor") {
    tracker_.Apply(Announced("a", 5, 1));
  }
  tracker_.Apply(Announced("b", 6, 9, AnnouncedState::kDraining));
  CHECK(tracker_.State() == wire::TARGET_STATE_DRAINING);
  CHECK_FALSE(tracker_.AcceptsRequests());
}

TEST_CASE_METHOD(TrackerFixture, "cold time runs from the announcement") {
  Announcement cold = Announced("a", 5, 1);
  cold.remaining_cold_time = 3000ms;
  tracker_.Apply(cold);
  CHECK(tracker_.State() == wire::TARGET_STATE_COLD);
  clock_.Advance(3000ms);
  CHECK(tracker_.State() == wire::TARGET_STATE_UP);
}

// Guards against full load on a target that has turned cold after it sent an
// announcement that arrives late.
TEST_CASE_METHOD(
    TrackerFixture,
    "a target that may have turned cold is cold whatever it announces") {
  tracker_.Apply(Announced("a", 5, 1));
  SECTION("because it may have restarted") {
    tracker_.OnSuspectedRestart();
  }
  SECTION("because its zone was out of service") {
    tracker_.AssumeCold(4000ms);
  }
  CHECK(tracker_.State() == wire::TARGET_STATE_COLD);
  tracker_.Apply(Announced("a", 5, 2));
  CHECK(tracker_.State() == wire::TARGET_STATE_COLD);
  clock_.Advance(3999ms);
  CHECK(tracker_.State() == wire::TARGET_STATE_COLD);
  clock_.Advance(1ms);
  CHECK(tracker_.State() == wire::TARGET_STATE_UP);
}

TEST_CASE_METHOD(TrackerFixture,
                 "only a check that began later ends the assumption") {
  tracker_.Apply(Announced("a", 5, 1));
  const support::TimePoint before = clock_.Now();
  clock_.Advance(1ms);
  tracker_.AssumeCold(4000ms);
  tracker_.OnColdTimeChecked(0ms, before);
  CHECK(tracker_.State() == wire::TARGET_STATE_COLD);
  CHECK(tracker_.NeedsColdCheck());
  SECTION("a target that is not cold") {
    tracker_.OnColdTimeChecked(0ms, clock_.Now());
    CHECK(tracker_.State() == wire::TARGET_STATE_UP);
  }
  SECTION("a cold one, for the time that it states") {
    tracker_.OnColdTimeChecked(300ms, clock_.Now());
    tracker_.Apply(Announced("a", 5, 2));
    CHECK(tracker_.State() == wire::TARGET_STATE_COLD);
    clock_.Advance(300ms);
    CHECK(tracker_.State() == wire::TARGET_STATE_UP);
  }
  CHECK_FALSE(tracker_.NeedsColdCheck());
}

TEST_CASE_METHOD(
    TrackerFixture,
    "a target is down from a refused connection to its announcement") {
  CHECK(tracker_.State() == wire::TARGET_STATE_DOWN);
  tracker_.Apply(Announced("a", 5, 1));
  tracker_.OnConnectionRefused();
  CHECK(tracker_.State() == wire::TARGET_STATE_DOWN);
  CHECK_FALSE(tracker_.AcceptsRequests());
  tracker_.Apply(Announced("a", 5, 2));
  CHECK(tracker_.AcceptsRequests());
}

}  // namespace
}  // namespace yuccastair::relay
