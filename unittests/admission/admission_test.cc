// Admission decisions for single calls.

#include "yuccastair/admission/admission.h"

#include <catch2/catch.hpp>

namespace yuccastair::admission {
namespace {

using std::chrono::milliseconds;

Options SmallOptions() {
  Options options;
  options.limit = {.initial = 2, .min = 1, .max = 8};
  options.queue = {.max = 2, .timeout = milliseconds(100)};
  options.cold = {.initial_limit = 1, .ramp = milliseconds(1000)};
  return options;
}

class AdmissionFixture {
 protected:
  AdmissionFixture() : admission_(clock_, SmallOptions()) {
    Announce(wire::TARGET_STATE_UP, "1");
  }

  void Announce(wire::TargetState state, const std::string& incarnation) {
    decisions_.clear();
    admission_.SetTarget(state, incarnation, decisions_);
  }
  Decision Arrive(std::uint64_t id,
                  milliseconds deadline = milliseconds(1000),
                  wire::Importance importance = wire::IMPORTANCE_NORMAL) {
    decisions_.clear();
    Call call;
    call.id = id;
    call.organisation = "a";
    call.route = "r";
    call.importance = importance;
    call.deadline = clock_.Now() + deadline;
    admission_.Arrive(call, decisions_);
    return decisions_.back();
  }
  void Finish(std::uint64_t id,
              ExchangeOutcome end = ExchangeOutcome::kComplete) {
    decisions_.clear();
    admission_.Finish(id, end, decisions_);
  }
  void FillSlotsAndQueue() {
    for (std::uint64_t id = 1; id <= 4; ++id)
      Arrive(id);
  }

  support::ManualClock clock_;
  Admission admission_;
  Admission::Decisions decisions_;
};

TEST_CASE_METHOD(AdmissionFixture, "calls run, wait, then are rejected") {
  CHECK(Arrive(1).verdict == Verdict::kRun);
  CHECK(Arrive(2).verdict == Verdict::kRun);
  CHECK(Arrive(3).verdict == Verdict::kWait);
  CHECK(Arrive(4).verdict == Verdict::kWait);
  const Decision rejected = Arrive(5);
  CHECK(rejected.verdict == Verdict::kReject);
  CHECK(rejected.reason == Reason::kQueueFull);
  CHECK(rejected.running == 2);
  CHECK(rejected.limit == 2);
  CHECK(rejected.queued == 2);
  CHECK(rejected.overloaded);
  Finish(1);
  REQUIRE(decisions_.size() == 1);
  CHECK(decisions_[0].id == 3);
  CHECK(decisions_[0].verdict == Verdict::kRun);
}

TEST_CASE_METHOD(AdmissionFixture, "an important call displaces another") {
  FillSlotsAndQueue();
  Arrive(5, milliseconds(1000), wire::IMPORTANCE_CRITICAL);
  REQUIRE(decisions_.size() == 2);
  CHECK(decisions_[0].reason == Reason::kDisplaced);
  CHECK(decisions_[0].id == 4);
  CHECK(decisions_[1].verdict == Verdict::kWait);
}

// Guards against calls that wait longer than the queue timeout.
TEST_CASE_METHOD(AdmissionFixture, "queued calls time out") {
  FillSlotsAndQueue();
  clock_.Advance(milliseconds(100));
  decisions_.clear();
  admission_.Tick(decisions_);
  REQUIRE(decisions_.size() == 2);
  CHECK(decisions_[0].reason == Reason::kQueueTimeout);
  CHECK(admission_.queued() == 0);
}

// Guards against running calls whose result would miss the deadline.
TEST_CASE_METHOD(AdmissionFixture, "unreachable deadlines are rejected early") {
  for (std::uint64_t id = 1; id <= 20; ++id) {
    Arrive(id);
    clock_.Advance(milliseconds(50));
    Finish(id);
  }
  CHECK(Arrive(30, milliseconds(20)).reason == Reason::kDeadlineUnreachable);
  CHECK(Arrive(31, milliseconds(0)).reason == Reason::kDeadlinePassed);
  CHECK(Arrive(32, milliseconds(80)).verdict == Verdict::kRun);
  SECTION("a stale estimate rejects nothing") {
    clock_.Advance(milliseconds(1100));
    CHECK(Arrive(35, milliseconds(20)).verdict == Verdict::kRun);
    return;
  }
  // The same holds when the time to the deadline passes in the queue.
  Arrive(33, milliseconds(1000));
  Arrive(34, milliseconds(60));
  clock_.Advance(milliseconds(40));
  Finish(32);
  REQUIRE(decisions_.size() == 1);
  CHECK(decisions_[0].id == 34);
  CHECK(decisions_[0].reason == Reason::kDeadlineUnreachable);
}

TEST_CASE_METHOD(AdmissionFixture, "no new work in these states") {
  const auto [state, reason] = GENERATE(table<wire::TargetState, Reason>(
      {{wire::TARGET_STATE_DRAINING, Reason::kDraining},
       {wire::TARGET_STATE_LEAVING, Reason::kLeaving},
       {wire::TARGET_STATE_DOWN, Reason::kNoTarget}}));
  Announce(state, "1");
  CHECK(Arrive(1).reason == reason);
}

TEST_CASE_METHOD(AdmissionFixture, "no new work in a zone out of service") {
  admission_.SetZoneOut(true);
  CHECK(Arrive(1).reason == Reason::kZoneOut);
  CHECK(admission_.Load().state() == wire::TARGET_STATE_LEAVING);
  admission_.SetZoneOut(false);
  CHECK(Arrive(2).verdict == Verdict::kRun);
}

// Guards against a drain that drops queued calls.
TEST_CASE_METHOD(AdmissionFixture, "a draining target finishes its queue") {
  FillSlotsAndQueue();
  Announce(wire::TARGET_STATE_DRAINING, "1");
  CHECK(decisions_.empty());
  Finish(1);
  REQUIRE(decisions_.size() == 1);
  CHECK(decisions_[0].verdict == Verdict::kRun);
}

TEST_CASE_METHOD(AdmissionFixture, "stopping rejects what has not run") {
  FillSlotsAndQueue();
  decisions_.clear();
  admission_.Stop(decisions_);
  CHECK(decisions_.size() == 2);
  CHECK(Arrive(9).reason == Reason::kStopping);
  CHECK(admission_.running() == 2);
}

TEST_CASE_METHOD(AdmissionFixture, "a cancelled call leaves the queue") {
  FillSlotsAndQueue();
  CHECK(admission_.Cancel(3));
  CHECK_FALSE(admission_.Cancel(3));
  CHECK_FALSE(admission_.Cancel(1));
  Finish(1);
  REQUIRE(decisions_.size() == 1);
  CHECK(decisions_[0].id == 4);
}

// Guards against full load on a target that has just started and cannot bear
// it.
TEST_CASE_METHOD(AdmissionFixture, "cold targets start at their own limit") {
  SECTION("announced as cold") {
    Announce(wire::TARGET_STATE_COLD, "1");
  }
  SECTION("a new incarnation") {
    Announce(wire::TARGET_STATE_UP, "2");
  }
  SECTION("a refused connection") {
    Arrive(50);
    Finish(50, ExchangeOutcome::kConnectionRefused);
  }
  SECTION("several connection resets") {
    for (std::uint64_t id = 50; id < 53; ++id) {
      Arrive(id);
      Finish(id, ExchangeOutcome::kConnectionFailed);
    }
  }
  CHECK(admission_.limit() == 1);
  CHECK(admission_.Load().state() == wire::TARGET_STATE_COLD);
  clock_.Advance(milliseconds(1000));
  decisions_.clear();
  admission_.Tick(decisions_);
  CHECK(admission_.limit() == 2);
}

// Guards against a ramp on a warm target, either at the first announcement that
// a restarted node receives from it or after a single failed exchange.
TEST_CASE_METHOD(AdmissionFixture, "a warm target is not ramped") {
  CHECK(admission_.limit() == 2);
  Arrive(1);
  Finish(1, ExchangeOutcome::kConnectionFailed);
  CHECK(admission_.limit() == 2);
}

}  // namespace
}  // namespace yuccastair::admission
