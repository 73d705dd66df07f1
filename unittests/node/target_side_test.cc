// Tests the execution of calls against failing targets. Side effects are
// counted at the target: a call counts as run once the target has read it.

#include "target_executor.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>

#include "fake_target.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;
using Action = FakeTarget::Action;

constexpr std::uint32_t kLongDeadlineMs = 20000;
constexpr std::uint32_t kShortDeadlineMs = 300;

admission::Options SingleSlotOptions() {
  admission::Options options;
  options.limit = {.initial = 1, .min = 1, .max = 1};
  options.queue = {.max = 1, .timeout = milliseconds(kLongDeadlineMs)};
  return options;
}

wire::CallRequest MakeCall(const std::string& attempt, bool idempotent) {
  wire::CallRequest call;
  call.set_attempt_id(attempt);
  call.set_method(idempotent ? "GET" : "POST");
  call.set_path("/seats/" + attempt);
  call.set_organisation("choir");
  call.set_route("seats");
  call.set_idempotent(idempotent);
  call.set_deadline_ms(kLongDeadlineMs);
  call.set_attempt_budget(4);
  call.set_depth(1);
  return call;
}

class TestExecutor {
 public:
  explicit TestExecutor(const FakeTarget& target,
                        const admission::Options& options = {},
                        TargetExecutor::CrashHooks hooks = {})
      : executor_(8, running_calls_, options, std::move(hooks)) {
    Announce(target.address());
  }

  void Announce(const support::Address& address) {
    executor_.Announce({"seats", "1", address, wire::TARGET_STATE_UP});
  }
  std::future<wire::CallReply> Submit(const wire::CallRequest& call,
                                      support::Duration waited = {}) {
    auto promise = std::make_shared<std::promise<wire::CallReply>>();
    executor_.Submit(
        call,
        [promise](wire::CallReply reply) {
          promise->set_value(std::move(reply));
        },
        waited);
    return promise->get_future();
  }
  wire::CallReply Call(const wire::CallRequest& call) {
    return Submit(call).get();
  }
  wire::CallReply Cancel(const std::string& attempt) {
    std::promise<wire::CallReply> promise;
    executor_.Cancel(attempt, [&](wire::CallReply reply) {
      promise.set_value(std::move(reply));
    });
    return promise.get_future().get();
  }
  TargetExecutor& operator*() { return executor_; }

 private:
  RunningCalls running_calls_;
  TargetExecutor executor_;
};

// Guards against running a call again that may have had side effects.
TEST_CASE("a non-idempotent call reaches the target at most once") {
  const Action action = GENERATE(Action::kClose, Action::kRespondTruncated,
                                 Action::kSilent, Action::kCrash);
  FakeTarget target(27201, [&](const std::string&) { return action; });
  TestExecutor executor(target);
  wire::CallRequest call = MakeCall("a", false);
  if (action == Action::kSilent)
    call.set_deadline_ms(kShortDeadlineMs);
  const wire::CallReply reply = executor.Call(call);
  CHECK(reply.outcome() == wire::OUTCOME_UNKNOWN);
  CHECK(target.requests() == 1);
}

// Guards against more than one resend of a call, and against none although the
// budget allows one.
TEST_CASE("an idempotent call is sent again once, within its budget") {
  const std::uint32_t budget = GENERATE(0, 1, 4);
  const Action action = GENERATE(Action::kClose, Action::kSilent);
  std::atomic<int> seen = 0;
  FakeTarget target(27202, [&](const std::string&) {
    return ++seen == 1 ? action : Action::kRespond;
  });
  TestExecutor executor(target);
  wire::CallRequest call = MakeCall("a", true);
  call.set_attempt_budget(budget);
  if (action == Action::kSilent)
    call.set_deadline_ms(budget == 0 ? kShortDeadlineMs : 2000);
  const wire::CallReply reply = executor.Call(call);
  CHECK(target.requests() == (budget == 0 ? 1 : 2));
  CHECK(reply.outcome() ==
        (budget == 0 ? wire::OUTCOME_UNKNOWN : wire::OUTCOME_OK));
  CHECK(reply.unused_attempts() == (budget == 0 ? 0 : budget - 1));
}

// Guards against reporting "not run" for a call whose first exchange failed and
// whose second connection was refused.
TEST_CASE("a call that failed and was refused afterwards is unknown") {
  FakeTarget target(27203, [](const std::string&) { return Action::kCrash; });
  TestExecutor executor(target);
  CHECK(executor.Call(MakeCall("a", true)).outcome() == wire::OUTCOME_UNKNOWN);
  CHECK(executor.Call(MakeCall("b", true)).outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(target.requests() == 1);
}

TEST_CASE("a queue overflow is not run") {
  FakeTarget target(
      27204, [](const std::string&) { return Action::kRespondOnRelease; });
  TestExecutor executor(target, SingleSlotOptions());
  auto first = executor.Submit(MakeCall("a", false));
  target.AwaitRequests(1);
  auto second = executor.Submit(MakeCall("b", false));
  const wire::CallReply third = executor.Call(MakeCall("c", false));
  CHECK(third.outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(third.load().running() == 1);
  CHECK(third.load().queued() == 1);
  target.Release();
  CHECK(first.get().outcome() == wire::OUTCOME_OK);
  CHECK(second.get().outcome() == wire::OUTCOME_OK);
  CHECK(target.requests() == 2);
}

// Guards against running a call after it was confirmed as not run.
TEST_CASE("a cancelled call in the queue never runs") {
  FakeTarget target(
      27205, [](const std::string&) { return Action::kRespondOnRelease; });
  TestExecutor executor(target, SingleSlotOptions());
  auto first = executor.Submit(MakeCall("a", false));
  target.AwaitRequests(1);
  auto second = executor.Submit(MakeCall("b", false));
  (*executor).Cancel("b", nullptr);
  CHECK(second.get().outcome() == wire::OUTCOME_NOT_RUN);
  target.Release();
  CHECK(first.get().outcome() == wire::OUTCOME_OK);
  CHECK(target.requests() == 1);
}

// Guards against work for a caller that has disconnected.
TEST_CASE("cancelling a running call closes the target's connection") {
  FakeTarget target(27206, [](const std::string&) { return Action::kSilent; });
  TestExecutor executor(target);
  auto reply = executor.Submit(MakeCall("a", false));
  target.AwaitRequests(1);
  (*executor).Cancel("a", nullptr);
  CHECK(reply.get().outcome() == wire::OUTCOME_UNKNOWN);
  target.AwaitClientClose(1);
  CHECK(target.requests() == 1);
}

// Guards against running a call that arrives after its cancellation, and
// against reporting "not run" for a call that an earlier process of the node
// may have run.
TEST_CASE("a call that was cancelled before it arrived is not run") {
  FakeTarget target(27207);
  TestExecutor executor(target);
  CHECK(executor.Cancel("a").outcome() == wire::OUTCOME_UNKNOWN);
  auto dropped = executor.Submit(MakeCall("a", false));
  CHECK(executor.Call(MakeCall("b", false)).outcome() == wire::OUTCOME_OK);
  CHECK(target.requests() == 1);
}

TEST_CASE("a second copy of a call is dropped") {
  FakeTarget target(
      27208, [](const std::string&) { return Action::kRespondOnRelease; });
  TestExecutor executor(target);
  auto first = executor.Submit(MakeCall("a", false));
  auto second = executor.Submit(MakeCall("a", false));
  target.AwaitRequests(1);
  target.Release();
  CHECK(first.get().outcome() == wire::OUTCOME_OK);
  auto third = executor.Submit(MakeCall("a", false));
  CHECK(executor.Call(MakeCall("b", false)).outcome() == wire::OUTCOME_OK);
  CHECK(target.requests() == 2);
}

// Guards against calls that run long after their deadline, because a suspended
// node counts their remaining time only after it resumes.
TEST_CASE("a call that waited in the sockets of a suspended node is not run") {
  FakeTarget target(27209);
  TestExecutor executor(target);
  const auto reply =
      executor.Submit(MakeCall("a", false), milliseconds(kLongDeadlineMs))
          .get();
  CHECK(reply.outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(target.requests() == 0);
}

// Guards against a planned stop that interrupts requests.
TEST_CASE("draining finishes the accepted calls") {
  FakeTarget target(
      27210, [](const std::string&) { return Action::kRespondOnRelease; });
  TestExecutor executor(target, SingleSlotOptions());
  auto running = executor.Submit(MakeCall("a", false));
  target.AwaitRequests(1);
  auto queued = executor.Submit(MakeCall("b", false));
  (*executor).StartDraining();
  CHECK(executor.Call(MakeCall("c", false)).outcome() == wire::OUTCOME_NOT_RUN);
  CHECK((*executor).unreplied_calls() == 2);
  CHECK((*executor).Load().state() == wire::TARGET_STATE_LEAVING);
  target.Release();
  CHECK(running.get().outcome() == wire::OUTCOME_OK);
  CHECK(queued.get().outcome() == wire::OUTCOME_OK);
}

TEST_CASE("stopping rejects queued calls and finishes running ones") {
  FakeTarget target(
      27211, [](const std::string&) { return Action::kRespondOnRelease; });
  TestExecutor executor(target, SingleSlotOptions());
  auto running = executor.Submit(MakeCall("a", false));
  target.AwaitRequests(1);
  auto queued = executor.Submit(MakeCall("b", false));
  std::thread stopping([&] { (*executor).Stop(); });
  CHECK(queued.get().outcome() == wire::OUTCOME_NOT_RUN);
  target.Release();
  CHECK(running.get().outcome() == wire::OUTCOME_OK);
  stopping.join();
  CHECK(target.requests() == 1);
}

// Guards against a request that crashes one target after another.
TEST_CASE("a crash is reported before the caller is answered") {
  FakeTarget target(27212, [](const std::string&) { return Action::kCrash; });
  std::mutex mutex;
  std::vector<std::string> reported;
  TestExecutor executor(target, {},
                        {.is_blocked =
                             [&](const std::string& fingerprint) {
                               std::lock_guard lock(mutex);
                               return std::count(reported.begin(),
                                                 reported.end(),
                                                 fingerprint) > 0;
                             },
                         .report_crash =
                             [&](const std::string& fingerprint) {
                               std::lock_guard lock(mutex);
                               reported.push_back(fingerprint);
                             }});
  CHECK(executor.Call(MakeCall("a", false)).outcome() == wire::OUTCOME_UNKNOWN);
  {
    std::lock_guard lock(mutex);
    REQUIRE(reported.size() == 1);
  }
  FakeTarget restarted(27213);
  executor.Announce(restarted.address());
  wire::CallRequest again = MakeCall("a", false);
  again.set_attempt_id("a2");
  const wire::CallReply reply = executor.Call(again);
  CHECK(reply.outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(reply.step() == "fingerprint");
  CHECK(executor.Call(MakeCall("b", false)).outcome() == wire::OUTCOME_OK);
  CHECK(restarted.requests() == 1);
}

// Guards against reporting a crash for an exchange that fails while the target
// still runs.
TEST_CASE("a failed exchange with a running target is no crash") {
  FakeTarget target(27214, [](const std::string&) { return Action::kClose; });
  std::atomic<int> reports = 0;
  TestExecutor executor(
      target, {},
      {.is_blocked = nullptr,
       .report_crash = [&](const std::string&) { ++reports; }});
  CHECK(executor.Call(MakeCall("a", false)).outcome() == wire::OUTCOME_UNKNOWN);
  CHECK(reports == 0);
}

}  // namespace
}  // namespace yuccastair::node
