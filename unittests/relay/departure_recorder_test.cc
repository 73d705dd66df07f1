// Tests when the departure of a target may be acknowledged.

#include "departure_recorder.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <vector>

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;

class RecorderFixture {
 protected:
  void Record(const TargetTracker::Process& process) {
    stream::asio::co_spawn(
        context_,
        [this, process]() -> stream::Task<void> {
          answers_.push_back(co_await recorder_.Record(process));
        },
        stream::asio::detached);
  }
  void RunFor(std::chrono::milliseconds time) {
    const support::TimePoint end = clock_.Now() + time;
    while (clock_.Now() < end) {
      context_.restart();
      context_.run_for(5ms);
      recorder_.Tick();
    }
  }
  void Reply(bool held) {
    wire::DepartureReply reply;
    reply.set_held(held);
    recorder_.OnReply(reply);
  }

  stream::asio::io_context context_;
  support::SteadyClock clock_;
  std::vector<wire::DepartureReport> sent_;
  DepartureRecorder recorder_{
      context_, clock_, "n",
      [this](const wire::DepartureReport& report) { sent_.push_back(report); }};
  std::vector<bool> answers_;
};

// Guards against an acknowledged departure that is lost with its relay.
TEST_CASE_METHOD(RecorderFixture,
                 "a departure is acknowledged once it is recorded") {
  Record({"a", 5});
  RunFor(50ms);
  REQUIRE(sent_.size() == 1);
  CHECK(sent_[0].node_id() == "n");
  CHECK(sent_[0].process().target_id() == "a");
  CHECK(sent_[0].process().started_ms() == 5);
  CHECK(answers_.empty());
  Reply(true);
  RunFor(10ms);
  CHECK(answers_ == std::vector<bool>{true});
  Record({"a", 5});
  RunFor(10ms);
  CHECK(answers_ == std::vector<bool>{true, true});
  CHECK(sent_.size() == 1);
}

TEST_CASE_METHOD(RecorderFixture,
                 "a report that is lost or denied is repeated") {
  Record({"a", 5});
  RunFor(20ms);
  REQUIRE(sent_.size() == 1);
  Reply(false);
  RunFor(30ms);
  CHECK(sent_.size() == 2);
  RunFor(150ms);
  CHECK(sent_.size() >= 3);
  CHECK(answers_.empty());
  Reply(true);
  RunFor(10ms);
  CHECK(answers_ == std::vector<bool>{true});
}

TEST_CASE_METHOD(RecorderFixture, "two departures are recorded in turn") {
  Record({"a", 5});
  Record({"b", 6});
  RunFor(20ms);
  Reply(true);
  RunFor(20ms);
  CHECK(answers_ == std::vector<bool>{true});
  REQUIRE(!sent_.empty());
  CHECK(sent_.back().process().target_id() == "b");
  Reply(true);
  RunFor(10ms);
  CHECK(answers_ == std::vector<bool>{true, true});
}

// Guards against a target that waits for control processes out of reach.
TEST_CASE_METHOD(RecorderFixture,
                 "a departure that cannot be recorded is acknowledged late") {
  Record({"a", 5});
  RunFor(DepartureRecorder::kMaxWait + 50ms);
  CHECK(answers_ == std::vector<bool>{false});
  RunFor(DepartureRecorder::kMaxUnrecordedTime - DepartureRecorder::kMaxWait);
  Record({"a", 5});
  RunFor(20ms);
  CHECK(answers_ == std::vector<bool>{false, true});
}

}  // namespace
}  // namespace yuccastair::relay
