// Scheduling order of the queue, and displacement when it is full.

#include "yuccastair/admission/call_queue.h"

#include <catch2/catch.hpp>

namespace yuccastair::admission {
namespace {

using std::chrono::milliseconds;

class QueueFixture {
 protected:
  Call MakeCall(std::uint64_t id,
                const std::string& organisation,
                wire::Importance importance = wire::IMPORTANCE_NORMAL,
                std::uint32_t depth = 1,
                milliseconds deadline = milliseconds(1000)) {
    Call call;
    call.id = id;
    call.organisation = organisation;
    call.route = "route";
    call.importance = importance;
    call.depth = depth;
    call.deadline = now_ + deadline;
    return call;
  }
  void Push(const Call& call) { queue_.Push(call, now_); }
  std::vector<std::uint64_t> PopAll() {
    std::vector<std::uint64_t> ids;
    while (const auto call = queue_.Pop())
      ids.push_back(call->id);
    return ids;
  }

  const support::TimePoint now_ = support::ManualClock().Now();
  CallQueue queue_;
};

using Ids = std::vector<std::uint64_t>;

// Guards against a queue that ignores importance.
TEST_CASE_METHOD(QueueFixture, "more important calls go first") {
  Push(MakeCall(1, "a", wire::IMPORTANCE_LOW));
  Push(MakeCall(2, "a", wire::IMPORTANCE_NORMAL));
  Push(MakeCall(3, "a", wire::IMPORTANCE_CRITICAL));
  Push(MakeCall(4, "a", wire::IMPORTANCE_HIGH));
  CHECK(PopAll() == Ids{3, 4, 2, 1});
}

// Guards against wasting the work that upstream services have already done for
// a request.
TEST_CASE_METHOD(QueueFixture, "work in progress goes before new work") {
  Push(MakeCall(1, "a"));
  Push(MakeCall(2, "a", wire::IMPORTANCE_NORMAL, 2));
  Push(MakeCall(3, "a", wire::IMPORTANCE_NORMAL, 4));
  Push(MakeCall(4, "b", wire::IMPORTANCE_HIGH));
  CHECK(PopAll() == Ids{4, 3, 2, 1});
}

// Guards against a queue that serves the first calls of many requests before
// the last call of each, so that hardly any request completes.
TEST_CASE_METHOD(QueueFixture, "calls of the oldest request go first") {
  Call first_call_of_new = MakeCall(1, "a", wire::IMPORTANCE_NORMAL, 3);
  first_call_of_new.requested_at = now_ - milliseconds(100);
  Call last_call_of_old =
      MakeCall(2, "a", wire::IMPORTANCE_NORMAL, 2, milliseconds(2000));
  last_call_of_old.requested_at = now_ - milliseconds(300);
  Push(first_call_of_new);
  Push(last_call_of_old);
  CHECK(PopAll() == Ids{2, 1});
}

// Guards against ordering new work by the age of its request: a caller with an
// early deadline would be served too late.
TEST_CASE_METHOD(QueueFixture,
                 "the age of new work does not change its order") {
  Call patient =
      MakeCall(1, "a", wire::IMPORTANCE_NORMAL, 1, milliseconds(2000));
  patient.requested_at = now_ - milliseconds(300);
  Call urgent = MakeCall(2, "a", wire::IMPORTANCE_NORMAL, 1);
  urgent.requested_at = now_ - milliseconds(100);
  Push(patient);
  Push(urgent);
  CHECK(PopAll() == Ids{2, 1});
}

// Guards against calls of an urgent route that wait behind those of a less
// urgent route because the latter are deeper and have earlier deadlines.
TEST_CASE_METHOD(QueueFixture, "the rank of the route comes before depth") {
  Call urgent = MakeCall(1, "a", wire::IMPORTANCE_HIGH, 3);
  Call new_work = MakeCall(2, "a", wire::IMPORTANCE_HIGH, 1);
  new_work.rank = 1;
  Call deep = MakeCall(3, "a", wire::IMPORTANCE_HIGH, 4, milliseconds(500));
  deep.rank = 2;
  Call important = MakeCall(4, "a", wire::IMPORTANCE_CRITICAL, 1);
  important.rank = 9;
  Push(deep);
  Push(new_work);
  Push(urgent);
  Push(important);
  CHECK(PopAll() == Ids{4, 1, 2, 3});
}

// Guards against a burst of one organisation that delays all others.
TEST_CASE_METHOD(QueueFixture, "organisations take turns") {
  for (std::uint64_t id = 1; id <= 4; ++id)
    Push(MakeCall(id, "large"));
  Push(MakeCall(11, "small"));
  Push(MakeCall(12, "small"));
  CHECK(PopAll() == Ids{1, 11, 2, 12, 3, 4});
}

// Guards against an organisation that gains a larger share by emptying its
// queue between calls, and against an idle one that accumulates credit.
TEST_CASE_METHOD(QueueFixture, "calls that did not queue are charged") {
  for (std::uint64_t id = 1; id <= 3; ++id)
    queue_.Charge(MakeCall(id, "a"));
  Push(MakeCall(4, "a"));
  Push(MakeCall(5, "a"));
  Push(MakeCall(6, "b"));
  Push(MakeCall(7, "b"));
  CHECK(PopAll() == Ids{6, 4, 7, 5});
}

TEST_CASE_METHOD(QueueFixture, "the earliest deadline goes first") {
  Push(MakeCall(1, "a", wire::IMPORTANCE_LOW, 1, milliseconds(900)));
  Push(MakeCall(2, "a", wire::IMPORTANCE_LOW, 1, milliseconds(300)));
  CHECK(PopAll() == Ids{2, 1});
}

// Guards against rejecting important calls because less important ones arrived
// first.
TEST_CASE_METHOD(QueueFixture, "a more important call displaces another") {
  Push(MakeCall(1, "a", wire::IMPORTANCE_NORMAL));
  Push(MakeCall(2, "a", wire::IMPORTANCE_LOW, 1, milliseconds(500)));
  Push(MakeCall(3, "a", wire::IMPORTANCE_LOW, 1, milliseconds(800)));
  const auto displaced =
      queue_.DisplaceFor(MakeCall(4, "b", wire::IMPORTANCE_HIGH));
  REQUIRE(displaced);
  CHECK(displaced->id == 3);
  CHECK_FALSE(queue_.DisplaceFor(MakeCall(5, "a", wire::IMPORTANCE_LOW)));
  CHECK(queue_.size() == 2);
}

// Guards against a full queue that holds the calls of one organisation only.
TEST_CASE_METHOD(QueueFixture, "the longest queue of a band loses a call") {
  for (std::uint64_t id = 1; id <= 3; ++id)
    Push(MakeCall(id, "large"));
  const auto displaced = queue_.DisplaceFor(MakeCall(4, "small"));
  REQUIRE(displaced);
  CHECK(displaced->organisation == "large");
  Push(MakeCall(4, "small"));
  CHECK_FALSE(queue_.DisplaceFor(MakeCall(5, "small")));
  CHECK_FALSE(queue_.DisplaceFor(MakeCall(6, "large")));
}

TEST_CASE_METHOD(QueueFixture, "removal keeps the order of the other calls") {
  Push(MakeCall(1, "a"));
  Push(MakeCall(2, "a"));
  Push(MakeCall(3, "b"));
  CHECK(queue_.Remove(1)->id == 1);
  CHECK_FALSE(queue_.Remove(1));
  CHECK(queue_.TakeOlderThan(now_ - milliseconds(1)).empty());
  CHECK(PopAll() == Ids{2, 3});
  Push(MakeCall(9, "b"));
  CHECK(queue_.TakeOlderThan(now_).size() == 1);
  CHECK(queue_.size() == 0);
}

}  // namespace
}  // namespace yuccastair::admission
