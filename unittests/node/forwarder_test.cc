// Tests the forwarder against scripted nodes on loopback sockets.

#include "forwarder.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <functional>

#include "call_reply.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

/// A node that replies to calls according to its script. It replies to pings
/// unless it is mute.
class FakeNode {
 public:
  /// Returns the replies to send for a call; none for silence.
  using ReplyScript =
      std::function<std::vector<wire::CallReply>(const wire::CallRequest&)>;

  FakeNode(std::uint16_t port, ReplyScript script)
      : address_("127.0.0.1:" + std::to_string(port)),
        script_(std::move(script)),
        transport_({.listen = address_, .curve = std::nullopt},
                   {.on_request =
                        [this](const wire::ReplyRoute& route,
                               const wire::Envelope& envelope) {
                          Handle(route, envelope);
                        },
                    .on_answer = nullptr,
                    .on_undelivered = nullptr,
                    .on_tick = nullptr}) {}

  const std::string& address() const { return address_; }
  int calls() const { return calls_; }
  int cancels() const { return cancels_; }
  std::uint32_t last_budget() const { return last_budget_; }
  void AwaitCancel() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return cancels_ > 0; });
  }

  /// The reply to a cancellation; none for silence.
  std::optional<wire::CallReply> cancel_reply;
  std::atomic<bool> mute = false;

 private:
  void Handle(const wire::ReplyRoute& route, const wire::Envelope& envelope) {
    if (mute)
      return;
    wire::Envelope answer;
    answer.set_correlation(envelope.correlation());
    if (envelope.has_ping()) {
      answer.mutable_pong();
      transport_.Reply(route, answer);
    } else if (envelope.has_call_request()) {
      ++calls_;
      last_budget_ = envelope.call_request().attempt_budget();
      for (const wire::CallReply& reply : script_(envelope.call_request())) {
        *answer.mutable_call_reply() = reply;
        transport_.Reply(route, answer);
      }
    } else if (envelope.has_call_cancel()) {
      if (cancel_reply) {
        *answer.mutable_call_reply() = *cancel_reply;
        transport_.Reply(route, answer);
      }
      std::lock_guard lock(mutex_);
      ++cancels_;
      changed_.notify_all();
    }
  }

  const std::string address_;
  const ReplyScript script_;
  std::atomic<int> calls_ = 0;
  std::atomic<int> cancels_ = 0;
  std::atomic<std::uint32_t> last_budget_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  wire::Transport transport_;
};

wire::CallReply ServedReply(std::uint32_t unused = 0) {
  wire::CallReply reply;
  reply.set_outcome(wire::OUTCOME_OK);
  reply.set_status(200);
  reply.set_unused_attempts(unused);
  return reply;
}

FakeNode::ReplyScript AlwaysReply(const wire::CallReply& reply) {
  return [reply](const wire::CallRequest&) {
    return std::vector<wire::CallReply>{reply};
  };
}

std::vector<wire::CallReply> NoReplies(const wire::CallRequest&) {
  return {};
}

wire::CallRequest MakeCall(bool idempotent, std::uint32_t budget = 4) {
  wire::CallRequest call;
  call.set_service("seats");
  call.set_idempotent(idempotent);
  call.set_attempt_budget(budget);
  return call;
}

class ForwarderFixture {
 protected:
  ForwarderFixture()
      : forwarder_(
            fleet_,
            transport_,
            pending_,
            [] {},
            Forwarder::Options{.availability_zone = "z",
                               .routing = {},
                               .health = {.ping_interval = milliseconds(20),
                                          .silence_timeout = milliseconds(300)},
                               .cancel_timeout = milliseconds(5000)}),
        transport_({.listen = "", .curve = std::nullopt}, Handlers()) {}

  wire::Transport::Handlers Handlers() {
    return {.on_request = nullptr,
            .on_answer =
                [this](const std::string& address, wire::Envelope envelope) {
                  forwarder_.OnReceive(address);
                  const std::uint64_t correlation = envelope.correlation();
                  pending_.Complete(correlation, std::move(envelope));
                },
            .on_undelivered =
                [this](const std::string&, const wire::Envelope& envelope) {
                  pending_.CompleteUndelivered(envelope.correlation());
                },
            .on_tick = [this] { forwarder_.OnTick(); }};
  }

  /// Members are chosen in this order: each is far less loaded than the next.
  void SetMembers(const std::vector<std::string>& addresses) {
    fleet_.GetMembers("seats");
    wire::SyncReply sync;
    wire::ServiceMembers* service = sync.add_services();
    service->set_service("seats");
    service->set_revision(1);
    service->set_full(true);
    std::uint32_t limit = 1000;
    for (const std::string& address : addresses) {
      wire::Member* member = service->add_members();
      member->set_node_id(address);
      member->set_address(address);
      member->set_service("seats");
      member->set_state(wire::TARGET_STATE_UP);
      member->set_limit(limit);
      limit /= 10;
    }
    fleet_.Apply(sync);
  }

  wire::CallReply Forward(
      const wire::CallRequest& call,
      milliseconds deadline = milliseconds(20000),
      const std::function<bool()>& caller_disconnected = {}) {
    return forwarder_.Forward(call, support::SteadyClock().Now() + deadline,
                              caller_disconnected);
  }

  membership::MembershipView fleet_;
  wire::PendingCalls pending_;
  // Holds a reference to the transport, which is constructed later. It does not
  // use the transport before.
  Forwarder forwarder_;
  wire::Transport transport_;
};

TEST_CASE_METHOD(ForwarderFixture, "a call that has not run is re-routed") {
  FakeNode first(27301, AlwaysReply(NotRunReply("admission", "full")));
  FakeNode second(27302, AlwaysReply(ServedReply()));
  SetMembers({first.address(), second.address()});
  SECTION("within its budget") {
    CHECK(Forward(MakeCall(false)).outcome() == wire::OUTCOME_OK);
    CHECK(second.calls() == 1);
  }
  SECTION("but not without one") {
    CHECK(Forward(MakeCall(false, 0)).outcome() == wire::OUTCOME_NOT_RUN);
    CHECK(second.calls() == 0);
  }
  CHECK(first.calls() == 1);
}

// Guards against retries that cannot succeed and increase the overload.
TEST_CASE_METHOD(ForwarderFixture, "an overloaded service gets no retry") {
  wire::CallReply overloaded = NotRunReply("admission", "full");
  SECTION("as one node reports") {
    overloaded.set_service_overloaded(true);
  }
  SECTION("as all nodes report") {
    overloaded.mutable_load()->set_state(wire::TARGET_STATE_UP);
    overloaded.mutable_load()->set_limit(4);
    overloaded.mutable_load()->set_running(4);
    overloaded.mutable_load()->set_queued(4);
  }
  FakeNode first(27303, AlwaysReply(overloaded));
  FakeNode second(27304, AlwaysReply(overloaded));
  SetMembers({first.address(), second.address()});
  Forward(MakeCall(true));
  const int before = first.calls() + second.calls();
  const wire::CallReply reply = Forward(MakeCall(true));
  CHECK(reply.service_overloaded());
  CHECK(reply.outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(first.calls() + second.calls() == before + 1);
}

// Guards against running a non-idempotent call at two targets.
TEST_CASE_METHOD(ForwarderFixture, "an unknown outcome is retried if allowed") {
  const bool idempotent = GENERATE(false, true);
  FakeNode first(27305, AlwaysReply(UnknownReply("target", "broken")));
  FakeNode second(27306, AlwaysReply(ServedReply()));
  SetMembers({first.address(), second.address()});
  const wire::CallReply reply = Forward(MakeCall(idempotent));
  CHECK(reply.outcome() ==
        (idempotent ? wire::OUTCOME_OK : wire::OUTCOME_UNKNOWN));
  CHECK(first.calls() == 1);
  CHECK(second.calls() == (idempotent ? 1 : 0));
}

// Guards against reporting "not run" for a call whose first attempt may have
// run, because the retry after it was rejected.
TEST_CASE_METHOD(ForwarderFixture, "a rejected retry leaves it unknown") {
  FakeNode first(27321, AlwaysReply(UnknownReply("target", "broken")));
  FakeNode second(27322, AlwaysReply(NotRunReply("admission", "full")));
  SetMembers({first.address(), second.address()});
  CHECK(Forward(MakeCall(true)).outcome() == wire::OUTCOME_UNKNOWN);
  CHECK(first.calls() == 1);
  CHECK(second.calls() == 1);
}

// Guards against calls that wait until their deadline for a node that has
// stopped.
TEST_CASE_METHOD(ForwarderFixture, "a node that stops replying is ejected") {
  const bool idempotent = GENERATE(false, true);
  FakeNode first(27307, NoReplies);
  first.mute = true;
  FakeNode second(27308, AlwaysReply(ServedReply()));
  SetMembers({first.address(), second.address()});
  const wire::CallReply reply = Forward(MakeCall(idempotent));
  CHECK(reply.outcome() ==
        (idempotent ? wire::OUTCOME_OK : wire::OUTCOME_UNKNOWN));
  CHECK(second.calls() == (idempotent ? 1 : 0));
  // The first node is ejected, so the next call goes directly to the second.
  CHECK(Forward(MakeCall(false)).outcome() == wire::OUTCOME_OK);
}

TEST_CASE_METHOD(ForwarderFixture, "an unreachable node means not run") {
  FakeNode second(27310, AlwaysReply(ServedReply()));
  SetMembers({"127.0.0.1:27309", second.address()});
  CHECK(Forward(MakeCall(false)).outcome() == wire::OUTCOME_OK);
  SetMembers({"127.0.0.1:27309"});
  CHECK(Forward(MakeCall(false)).outcome() == wire::OUTCOME_NOT_RUN);
}

// Guards against reporting "not run" without proof when a call may still be
// queued.
TEST_CASE_METHOD(ForwarderFixture, "a late call is cancelled") {
  FakeNode node(27311, NoReplies);
  SetMembers({node.address()});
  SECTION("confirmed as not run") {
    node.cancel_reply = NotRunReply("cancel", "cancelled while it was queued");
    CHECK(Forward(MakeCall(false), milliseconds(200)).outcome() ==
          wire::OUTCOME_NOT_RUN);
  }
  SECTION("that was running") {
    node.cancel_reply = UnknownReply("cancel", "cancelled while it ran");
    CHECK(Forward(MakeCall(false), milliseconds(200)).outcome() ==
          wire::OUTCOME_UNKNOWN);
  }
  SECTION("without a confirmation") {
    CHECK(Forward(MakeCall(false), milliseconds(200)).outcome() ==
          wire::OUTCOME_UNKNOWN);
  }
  CHECK(node.cancels() == 1);
}

TEST_CASE_METHOD(ForwarderFixture, "a disconnected caller cancels its call") {
  FakeNode node(27312, NoReplies);
  node.cancel_reply = UnknownReply("cancel", "cancelled while it ran");
  SetMembers({node.address()});
  const auto disconnected = [&] { return node.calls() > 0; };
  CHECK(Forward(MakeCall(true), milliseconds(20000), disconnected).outcome() ==
        wire::OUTCOME_UNKNOWN);
  node.AwaitCancel();
  CHECK(node.calls() == 1);
  const auto disconnected_before = [] { return true; };
  CHECK(Forward(MakeCall(false), milliseconds(20000), disconnected_before)
            .outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(node.calls() == 1);
}

// Guards against a duplicate reply that is delivered to a later call.
TEST_CASE_METHOD(ForwarderFixture, "duplicate replies are dropped") {
  int number = 0;
  FakeNode node(27313, [&](const wire::CallRequest&) {
    wire::CallReply reply = ServedReply();
    reply.set_body(std::to_string(++number));
    return std::vector<wire::CallReply>{reply, reply, reply};
  });
  SetMembers({node.address()});
  CHECK(Forward(MakeCall(true)).body() == "1");
  CHECK(Forward(MakeCall(true)).body() == "2");
}

// Guards against a budget that is copied to an attempt instead of split.
TEST_CASE_METHOD(ForwarderFixture, "the budget is split and returned") {
  FakeNode first(27314, AlwaysReply(UnknownReply("target", "broken")));
  FakeNode second(27315, AlwaysReply(ServedReply(1)));
  SetMembers({first.address(), second.address()});
  const wire::CallReply reply = Forward(MakeCall(true, 6));
  CHECK(reply.outcome() == wire::OUTCOME_OK);
  // Of 6 attempts, 3 were delegated to the first attempt and lost. The second
  // attempt cost 1; 1 of the other 2 was delegated to it and returned.
  CHECK(first.last_budget() == 3);
  CHECK(second.last_budget() == 1);
  CHECK(reply.unused_attempts() == 2);
}

// Guards against retries that multiply the load when every call fails.
TEST_CASE_METHOD(ForwarderFixture, "retries are limited to their share") {
  FakeNode first(27316, AlwaysReply(UnknownReply("target", "broken")));
  FakeNode second(27317, AlwaysReply(UnknownReply("target", "broken")));
  SetMembers({first.address(), second.address()});
  routing::Options options;
  options.retry_share = 0.1;
  options.retry_burst = 2;
  forwarder_.SetOptions([options](const std::string&) { return options; });
  for (int i = 0; i < 50; ++i)
    Forward(MakeCall(true));
  CHECK(first.calls() + second.calls() <= 50 + 2 + 5);
}

}  // namespace
}  // namespace yuccastair::node
