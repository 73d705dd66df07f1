// Tests the order and the effects of a target's announcements.

#include "target_record.h"

#include <catch2/catch.hpp>

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;
using Change = TargetRecord::Change;

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

class RecordFixture {
 protected:
  support::ManualClock clock_;
  TargetRecord record_{clock_, 2000ms};
};

// Guards against a late announcement that makes a leaving target available
// again.
TEST_CASE_METHOD(RecordFixture, "a late announcement changes nothing") {
  CHECK(record_.Apply(Announced("a", 5, 1)) == Change::kUpdated);
  CHECK(record_.Apply(Announced("a", 5, 3, AnnouncedState::kDraining)) ==
        Change::kUpdated);
  CHECK(record_.Apply(Announced("a", 5, 2)) == Change::kIgnored);
  CHECK(record_.Apply(Announced("a", 5, 3)) == Change::kIgnored);
  CHECK(record_.State() == wire::TARGET_STATE_DRAINING);
}

// Guards against a delayed announcement of a crashed process that replaces the
// one of its successor at the same address.
TEST_CASE_METHOD(RecordFixture,
                 "an announcement of an earlier process is ignored") {
  record_.Apply(Announced("a", 5, 9));
  CHECK(record_.Apply(Announced("b", 7, 1)) == Change::kRestarted);
  CHECK(record_.Apply(Announced("a", 5, 10)) == Change::kIgnored);
  CHECK(record_.announced()->target_id == "b");
}

TEST_CASE_METHOD(RecordFixture,
                 "without a start time the id identifies the process") {
  record_.Apply(Announced("a", 0, 9));
  CHECK(record_.Apply(Announced("b", 0, 1)) == Change::kRestarted);
  CHECK(record_.Apply(Announced("a", 0, 10)) == Change::kIgnored);
}

// Guards against a sequence number of an earlier start: the sequence restarts.
TEST_CASE_METHOD(RecordFixture,
                 "a restart under the same id is a new process") {
  record_.Apply(Announced("a", 5, 9));
  CHECK(record_.Apply(Announced("a", 8, 1)) == Change::kRestarted);
  CHECK(record_.Apply(Announced("a", 5, 10)) == Change::kIgnored);
}

TEST_CASE_METHOD(RecordFixture,
                 "a deregistration affects only its own process") {
  record_.Apply(Announced("a", 5, 1));
  CHECK(record_.Apply(Announced("z", 0, 0, AnnouncedState::kGone)) ==
        Change::kIgnored);
  CHECK(record_.Apply(Announced("a", 4, 0, AnnouncedState::kGone)) ==
        Change::kIgnored);
  CHECK(record_.Apply(Announced("a", 5, 0, AnnouncedState::kGone)) ==
        Change::kUpdated);
  CHECK(record_.State() == wire::TARGET_STATE_LEAVING);
  CHECK(record_.Apply(Announced("a", 5, 7)) == Change::kIgnored);
}

// Guards against requests that reach a draining target after its drain time.
TEST_CASE_METHOD(RecordFixture,
                 "a draining target accepts requests for a while") {
  record_.Apply(Announced("a", 5, 1));
  record_.Apply(Announced("a", 5, 2, AnnouncedState::kDraining));
  CHECK(record_.AcceptsRequests());
  // Further announcements do not restart the drain time.
  clock_.Advance(900ms);
  record_.Apply(Announced("a", 5, 3, AnnouncedState::kDraining));
  CHECK(record_.AcceptsRequests());
  clock_.Advance(200ms);
  CHECK_FALSE(record_.AcceptsRequests());
}

TEST_CASE_METHOD(RecordFixture, "cold time runs from the announcement") {
  Announcement cold = Announced("a", 5, 1);
  cold.cold_left = 3000ms;
  record_.Apply(cold);
  CHECK(record_.State() == wire::TARGET_STATE_COLD);
  clock_.Advance(3000ms);
  CHECK(record_.State() == wire::TARGET_STATE_UP);
}

// Guards against full load on a target that has restarted between two
// announcements.
TEST_CASE_METHOD(
    RecordFixture,
    "a target is cold from a suspected restart to its announcement") {
  record_.Apply(Announced("a", 5, 1));
  record_.NoteMaybeRestarted();
  CHECK(record_.State() == wire::TARGET_STATE_COLD);
  record_.Apply(Announced("a", 5, 2));
  CHECK(record_.State() == wire::TARGET_STATE_UP);
}

TEST_CASE_METHOD(
    RecordFixture,
    "a target is down from a refused connection to its announcement") {
  CHECK(record_.State() == wire::TARGET_STATE_DOWN);
  record_.Apply(Announced("a", 5, 1));
  record_.NoteRefused();
  CHECK(record_.State() == wire::TARGET_STATE_DOWN);
  CHECK_FALSE(record_.AcceptsRequests());
  record_.Apply(Announced("a", 5, 2));
  CHECK(record_.AcceptsRequests());
}

}  // namespace
}  // namespace yuccastair::relay
