// Tests the response to a caller whose request is offered to several targets.

#include "request_handler.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdint>

#include "dropped_connections.h"
#include "peer_response.h"
#include "scripted_target.h"

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;
namespace http = stream::http;

/// A relay whose local target fails each request, and another relay of the same
/// service that rejects all requests.
class RequestHandlerFixture {
 protected:
  explicit RequestHandlerFixture(
      const CallResult& other_response,
      ScriptedTarget::AfterRequest after = ScriptedTarget::AfterRequest::kKeep)
      : RequestHandlerFixture(other_response, after, after) {}

  RequestHandlerFixture(const CallResult& other_response,
                        ScriptedTarget::AfterRequest after,
                        ScriptedTarget::AfterRequest other_after)
      : own_(context_,
             "HTTP/1.1 500 Failed\r\nx-yuccastair-request-id: {id}\r\n"
             "x-yuccastair-seal: s\r\nContent-Length: 0\r\n\r\n",
             after),
        other_(context_, PeerResponse(other_response), other_after) {
    wire::Policy policy;
    policy.set_version(1);
    wire::PolicyRoute& route = *policy.add_routes();
    route.set_name("r");
    route.set_host("h.example");
    route.set_path_prefix("/a/");
    route.set_idempotent(true);
    route.set_open(true);
    route.set_timeout_ms(3000);
    route.set_objective_ms(1000);
    route.set_attempts(2);
    route.add_shares()->set_service("s");
    route.mutable_shares(0)->set_weight(1);
    wire::PolicyRoute& deep = *policy.add_routes();
    deep = route;
    deep.set_name("deep");
    deep.set_path_prefix("/deep/");
    deep.mutable_shares(0)->set_service("deep");
    policy.add_organisations()->set_name("acme");
    policy.add_services()->set_name("s");
    policy.add_services()->set_name("deep");
    wire::PolicyRoute& closed = *policy.add_routes();
    closed = route;
    closed.set_name("closed");
    closed.set_path_prefix("/closed/");
    closed.mutable_shares(0)->set_service("closed");
    policy.add_services()->set_name("closed");
    wire::SyncReply reply;
    reply.set_policy(policy.SerializeAsString());
    wire::ServiceMembers& members = *reply.add_services();
    members.set_service("s");
    members.set_revision(1);
    members.set_full(true);
    AddMember(members, "own", "127.0.0.1:1");
    AddMember(members, "other", other_.address().ToString());
    wire::ServiceMembers& deep_members = *reply.add_services();
    deep_members.set_service("deep");
    deep_members.set_revision(1);
    deep_members.set_full(true);
    AddMember(deep_members, "deep1", other_.address().ToString());
    fleet_.Apply(reply);
    Announcement announcement;
    announcement.target_id = "t1";
    announcement.sequence = 1;
    announcement.service = "s";
    announcement.address = own_.address();
    announcement.slots = 10;
    target_.OnAnnouncement(announcement);
  }

  static void AddMember(wire::ServiceMembers& members,
                        const std::string& id,
                        const std::string& address) {
    wire::Member& member = *members.add_members();
    member.set_node_id(id);
    member.set_incarnation("1");
    member.set_availability_zone("a");
    member.set_address(address);
    member.set_service(members.service());
    member.set_state(wire::TARGET_STATE_UP);
    member.set_limit(10);
  }

  static wire::SyncReply ReplyWithoutTarget(const std::string& service) {
    wire::SyncReply reply;
    wire::ServiceMembers& members = *reply.add_services();
    members.set_service(service);
    members.set_revision(1);
    members.set_full(true);
    return reply;
  }

  unsigned Ask(const std::string& path = "/a/x", const std::string& id = "") {
    unsigned status = 0;
    bool done = false;
    stream::asio::co_spawn(
        context_,
        [&]() -> stream::Task<void> {
          const support::Address address{"127.0.0.1", server_.port()};
          auto acquired = co_await pool_.Acquire(address, clock_.Now() + 10s);
          http::header<true> head;
          head.method(http::verb::get);
          head.target(path);
          head.set("Host", "h.example");
          if (!id.empty())
            head.set(names_.request_id, id);
          stream::BodySource body;
          body.length = 0;
          co_await acquired.connection->Write(std::move(head), body);
          auto& reader = acquired.connection->reader();
          const stream::ErrorCode error = co_await reader.ReadHead(16384);
          if (!error) {
            status = reader.head().result_int();
            retry_after_ = std::string(reader.head().base()["Retry-After"]);
          }
          text_.clear();
          co_await reader.ReadUpTo(text_, std::size_t{1} << 16);
          done = true;
        },
        stream::asio::detached);
    context_.restart();
    while (!done)
      context_.run_one();
    return status;
  }

  /// Sends a request and disconnects before the relay handles either event.
  void AskAndLeave() {
    stream::asio::ip::tcp::socket caller(context_);
    caller.connect(
        {stream::asio::ip::make_address("127.0.0.1"), server_.port()});
    stream::asio::write(
        caller, stream::asio::buffer(std::string("GET /a/x HTTP/1.1\r\n"
                                                 "Host: h.example\r\n\r\n")));
    caller.close();
    context_.restart();
    context_.run_for(50ms);
  }

  stream::asio::io_context context_;
  support::SteadyClock clock_;
  HeaderNames names_;
  observe::Metrics metrics_;
  TrafficCounts traffic_{metrics_, "a"};
  ScriptedTarget own_;
  ScriptedTarget other_;
  // The body of the last response, and when it asks the caller to come back.
  std::string text_;
  std::string retry_after_;
  FleetState fleet_{clock_, clock_, "a"};
  TargetProxy target_{context_, clock_, names_, 2000ms, metrics_};
  PeerClient peers_{context_, clock_};
  RateLimiter rates_{context_, clock_, clock_,
                     "own",    "1",    [](const wire::RateRequest&) {}};
  RequestGate gate_;
  RequestHandler handler_{{clock_, names_, fleet_, target_, peers_, rates_,
                           gate_, metrics_, traffic_},
                          "own",
                          "s"};
  stream::Server server_{context_, support::Address{"127.0.0.1", 0},
                         [this](stream::ServerExchange& exchange) {
                           return handler_.Handle(exchange);
                         }};
  stream::ConnectionPool pool_{context_, {}};
};

class RejectedRetry : public RequestHandlerFixture {
 protected:
  RejectedRetry()
      : RequestHandlerFixture(
            CallResult::NotRun("too many requests are repeated")) {}
};

class RejectedForAll : public RequestHandlerFixture {
 protected:
  static CallResult Rejection() {
    CallResult rejection = CallResult::NotRun("calls are rejected");
    rejection.downstream_overloaded = true;
    return rejection;
  }
  RejectedForAll() : RequestHandlerFixture(Rejection()) {}
};

// Guards against responses from which callers and operators cannot tell a
// service without targets from one that is overloaded or not yet known.
TEST_CASE_METHOD(RejectedForAll,
                 "the response states that no target is in service") {
  CHECK(Ask("/closed/x") == 503);
  CHECK(text_ == "no target can be reached\n");
  wire::SyncReply reply = ReplyWithoutTarget("closed");
  wire::ServiceMembers& members = *reply.mutable_services(0);
  fleet_.Apply(reply);
  CHECK(Ask("/closed/x") == 503);
  CHECK(text_ == "the service has no target in service\n");
  AddMember(members, "leaving", "127.0.0.1:1");
  members.mutable_members(0)->set_state(wire::TARGET_STATE_LEAVING);
  members.set_revision(2);
  fleet_.Apply(reply);
  CHECK(Ask("/closed/x") == 503);
  CHECK(text_ == "the service has no target in service\n");
}

// Guards against callers that use up their retries before a service without
// targets can have returned.
TEST_CASE_METHOD(RejectedForAll,
                 "callers of a service without targets return in time") {
  fleet_.Apply(ReplyWithoutTarget("closed"));
  for (int i = 0; i < 20; ++i) {
    REQUIRE(Ask("/closed/x") == 503);
    // The objective of the route is 1 s.
    CHECK(std::stod(retry_after_) >= 0.6);
    CHECK(std::stod(retry_after_) <= 0.8);
  }
}

// Guards against a target's response that is discarded for a retry which is
// then rejected, so that the caller gets status 502.
TEST_CASE_METHOD(RejectedRetry, "a rejected retry keeps the first response") {
  for (int i = 0; i < 20; ++i)
    REQUIRE(Ask() == 500);
  CHECK_FALSE(own_.requests().empty());
}

// Guards against a request that is offered to one target after the other while
// each of them throttles such requests for the same reason.
TEST_CASE_METHOD(RejectedForAll,
                 "a rejection for all targets ends the retries") {
  int rejected = 0;
  for (int i = 0; i < 20; ++i)
    rejected += Ask() == 503 ? 1 : 0;
  // Half of the requests reach the rejecting relay first.
  CHECK(rejected > 0);
  CHECK(static_cast<int>(own_.requests().size()) == 20 - rejected);
}

/// A relay whose target responds to each request.
class ServedByAll : public RequestHandlerFixture {
 protected:
  ServedByAll() : RequestHandlerFixture(CallResult::NotRun("busy")) {}
};

/// A relay that knows two targets of a service; the relay of the one that it
/// prefers cannot be reached.
class UnreachableRelay : public RequestHandlerFixture {
 protected:
  static CallResult Served() {
    CallResult served;
    served.outcome = wire::OUTCOME_OK;
    served.head.result(200);
    served.reached_target = true;
    return served;
  }
  UnreachableRelay() : RequestHandlerFixture(Served()) {
    wire::SyncReply reply;
    wire::ServiceMembers& members = *reply.add_services();
    members.set_service("closed");
    members.set_revision(1);
    members.set_full(true);
    AddMember(members, "gone",
              support::Address{"127.0.0.1", kGonePort}.ToString());
    members.mutable_members(0)->set_limit(1000);
    AddMember(members, "other", other_.address().ToString());
    fleet_.Apply(reply);
  }

  static constexpr std::uint16_t kGonePort = 26095;
  DroppedConnections dropped_{kGonePort};
};

// Guards against a request that is lost with a connection that was never made,
// because the attempt took longer than a request may be queued.
TEST_CASE_METHOD(UnreachableRelay,
                 "a request is offered to another relay if the first one "
                 "cannot be reached") {
  CHECK(Ask("/closed/x") == 200);
  CHECK(other_.requests().size() == 1);
}

// Guards against work for callers that disconnected before a relay under load
// had read their requests: the end of the connection was handled after the
// request had been sent.
TEST_CASE_METHOD(ServedByAll,
                 "a request of a disconnected caller is not sent") {
  // Opens connections to the targets, so that later requests can be sent at
  // once.
  for (int i = 0; i < 20; ++i)
    Ask();
  const std::size_t before = own_.requests().size() + other_.requests().size();
  for (int i = 0; i < 20; ++i)
    AskAndLeave();
  CHECK(own_.requests().size() + other_.requests().size() == before);
}

/// A relay whose target never completes a request.
class UnansweredRequests : public RequestHandlerFixture {
 protected:
  UnansweredRequests()
      : RequestHandlerFixture(CallResult::NotRun("busy"),
                              ScriptedTarget::AfterRequest::kNoResponse) {}
};

// Guards against a target that keeps working for a caller that disconnected
// after a body too long to be buffered had been sent.
TEST_CASE_METHOD(UnansweredRequests,
                 "a caller that disconnects after a long body") {
  const std::string body(2 * stream::kHeldBodyBytes, 'x');
  stream::asio::ip::tcp::socket caller(context_);
  caller.connect({stream::asio::ip::make_address("127.0.0.1"), server_.port()});
  stream::asio::co_spawn(
      context_,
      [&]() -> stream::Task<void> {
        const std::string request =
            "POST /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        co_await stream::asio::async_write(
            caller, stream::asio::buffer(request), stream::kAsTuple);
      },
      stream::asio::detached);
  context_.restart();
  context_.run_for(200ms);
  REQUIRE(server_.active() == 1);
  caller.close();
  context_.run_for(200ms);
  CHECK(server_.active() == 0);
}

/// A relay whose target runs request "p1" and calls the service "deep" for it.
class CallOfRunningRequest : public RequestHandlerFixture {
 public:
  explicit CallOfRunningRequest(const CallResult& answer)
      : RequestHandlerFixture(answer,
                              ScriptedTarget::AfterRequest::kNoResponse,
                              ScriptedTarget::AfterRequest::kKeep) {
    call_.request_id = "p1";
    call_.head.method(http::verb::get);
    call_.head.target("/a/x");
    call_.body.length = 0;
    call_.service = "s";
    call_.route = "r";
    call_.deadline = clock_.Now() + 10s;
    call_.queue_deadline = call_.deadline;
    stream::asio::co_spawn(
        context_,
        [this]() -> stream::Task<void> { co_await target_.Run(call_); },
        stream::asio::detached);
    context_.restart();
    context_.run_for(50ms);
  }

  ~CallOfRunningRequest() { context_.stop(); }

  RunningRequests::RequestPtr AfterCall() {
    Ask("/deep/x", "p1.1");
    return target_.running_requests().FindParent("p1.1", call_.deadline);
  }

 private:
  RelayCall call_;
};

// Guards against confusing a service at capacity with one that fails at random:
// a route is then throttled too little or too much.
TEST_CASE("a running request records the outcome of its call") {
  using admission::DownstreamOutcome;
  CallResult served;
  served.outcome = wire::OUTCOME_OK;
  served.head.result(200);
  served.reached_target = true;
  served.load.emplace();
  CallResult served_by_full = served;
  served_by_full.load->set_queued(1);
  // A call made by the call was rejected, and its target succeeded without it.
  CallResult served_without = served;
  served_without.worst_call_outcome = DownstreamOutcome::kNoCapacity;
  served_without.missing_service = "away";
  CallResult failed = served;
  failed.head.result(500);
  CallResult failed_downstream = failed;
  failed_downstream.downstream_call_failed = true;
  failed_downstream.worst_call_outcome = DownstreamOutcome::kNoCapacity;
  CallResult failed_without_target = failed_downstream;
  failed_without_target.missing_service = "away";
  CallResult rejected_by_target = CallResult::NotRun("status 503");
  rejected_by_target.reached_target = true;
  CallResult rejected_with_free_slots = rejected_by_target;
  rejected_with_free_slots.worst_call_outcome =
      DownstreamOutcome::kRejectedWithFreeSlots;
  CallResult failed_below_free_slots = failed_downstream;
  failed_below_free_slots.worst_call_outcome =
      DownstreamOutcome::kRejectedWithFreeSlots;
  const CallResult rejected = CallResult::NotRun("the queue is full");
  struct Row {
    const char* name;
    const CallResult& answer;
    DownstreamOutcome end;
    bool failed;
    const char* missing_service = "";
  };
  const std::vector<Row> rows{
      {"served", served, DownstreamOutcome::kServed, false},
      {"served by a full target", served_by_full,
       DownstreamOutcome::kServedAtCapacity, false},
      {"served without one of its calls", served_without,
       DownstreamOutcome::kServedAtCapacity, false},
      {"failed by the target", failed, DownstreamOutcome::kServed, true},
      {"failed for lack of capacity downstream", failed_downstream,
       DownstreamOutcome::kNoCapacity, true},
      {"failed for lack of a target downstream", failed_without_target,
       DownstreamOutcome::kNoCapacity, true, "away"},
      {"rejected by the target", rejected_by_target,
       DownstreamOutcome::kRejected, true},
      {"rejected by a target with free slots", rejected_with_free_slots,
       DownstreamOutcome::kRejectedWithFreeSlots, true},
      {"failed as a target with free slots rejected a call",
       failed_below_free_slots, DownstreamOutcome::kRejectedWithFreeSlots,
       true},
      {"rejected for lack of capacity", rejected,
       DownstreamOutcome::kNoCapacity, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CallOfRunningRequest relay(row.answer);
    const RunningRequests::RequestPtr parent = relay.AfterCall();
    REQUIRE(parent);
    CHECK(parent->worst_call_outcome == row.end);
    CHECK(parent->downstream_call_failed == row.failed);
    CHECK(parent->missing_service == row.missing_service);
  }
}

}  // namespace
}  // namespace yuccastair::relay
