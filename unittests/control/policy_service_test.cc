// Requests on the policy that arrive at a follower, and orders that arrive
// late.

#include "policy_request_service.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "fake_log.h"
#include "yuccastair/state/table_dispatcher.h"

namespace yuccastair::control {
namespace {

using namespace std::chrono_literals;

class FollowerFixture {
 protected:
  FollowerFixture() { log_.is_leader = false; }

  void SendReadRequest() {
    wire::PolicyRequest request;
    request.mutable_read();
    service_.Execute(
        request, [this](const wire::PolicyReply& reply) { reply_ = reply; });
  }

  support::ManualClock clock_;
  policy::PolicyTable table_;
  FakeLog log_{table_};
  std::uint64_t forwarded_correlation_ = 0;
  std::optional<wire::PolicyReply> reply_;
  PolicyRequestService service_{log_, table_, clock_,
                                [this](const std::string&,
                                       std::uint64_t correlation,
                                       const wire::PolicyRequest&) {
                                  forwarded_correlation_ = correlation;
                                }};
};

// Guards against an operator who waits for the full timeout of a call although
// the leader is unreachable, and only then tries another control process.
TEST_CASE_METHOD(FollowerFixture,
                 "a request that cannot be forwarded is replied to at once") {
  SendReadRequest();
  REQUIRE(forwarded_correlation_ != 0);
  service_.OnUndelivered(forwarded_correlation_, "127.0.0.1:1");
  REQUIRE(reply_);
  CHECK(reply_->status() == wire::POLICY_STATUS_UNAVAILABLE);
}

// Guards against a second reply to the same request.
TEST_CASE_METHOD(FollowerFixture, "a late reply is dropped") {
  SendReadRequest();
  service_.OnUndelivered(forwarded_correlation_, "127.0.0.1:1");
  reply_.reset();
  service_.OnReply(forwarded_correlation_, {});
  CHECK_FALSE(reply_);
}

class ZoneOrderFixture {
 protected:
  ZoneOrderFixture() { dispatcher_.Add(wire::TABLE_POLICY, table_); }

  /// Lets the process run for \p time.
  void Run(std::chrono::milliseconds time) {
    for (const auto end = clock_.Now() + time; clock_.Now() < end;) {
      clock_.Advance(10ms);
      service_.Tick();
    }
  }
  /// Lets the process stand still for \p time; on waking it applies what the
  /// others have committed before it reads anything else.
  void Suspend(std::chrono::milliseconds time) {
    clock_.Advance(time);
    service_.Tick();
  }

  static wire::PolicyRequest MakeOrder(bool out) {
    wire::PolicyRequest request;
    request.mutable_zone()->set_zone("z");
    request.mutable_zone()->set_out(out);
    return request;
  }
  /// An order that an operator sends to this process.
  wire::PolicyStatus Order(bool out, std::chrono::milliseconds transit = 0ms) {
    wire::PolicyStatus status = wire::POLICY_STATUS_UNAVAILABLE;
    wire::PolicyRequest request = MakeOrder(out);
    request.mutable_zone()->set_max_transit_ms(
        static_cast<std::uint64_t>(transit.count()));
    service_.Execute(request, [&](const wire::PolicyReply& reply) {
      status = reply.status();
    });
    return status;
  }
  /// An order that another process has executed.
  void OrderElsewhere(bool out) {
    table_.Apply(0, MakeOrder(out).SerializeAsString());
  }
  bool IsOut() const { return table_.state().zones_out_size() == 1; }

  support::ManualClock clock_;
  policy::PolicyTable table_;
  state::TableDispatcher dispatcher_;
  FakeLog log_{dispatcher_};
  std::vector<wire::PolicyRequest> forwarded_;
  PolicyRequestService service_{log_, table_, clock_,
                                [this](const std::string&,
                                       std::uint64_t,
                                       const wire::PolicyRequest& request) {
                                  forwarded_.push_back(request);
                                }};
};

// Guards against relays that use a zone for too long, or not at all, because
// they do not know how old its order is.
TEST_CASE_METHOD(ZoneOrderFixture, "a sync reply states the age of an order") {
  const auto reported_age = [this] {
    wire::SyncReply reply;
    service_.FillReply({}, reply);
    REQUIRE(reply.zones_out_size() == 1);
    REQUIRE(reply.zones_out_max_age_ms_size() == 1);
    return reply.zones_out_max_age_ms(0);
  };
  SECTION("by a process with a current view") {
    log_.current_as_of = clock_.Now();
    service_.UpdateZones();
    OrderElsewhere(true);
    CHECK(reported_age() == 0);
    clock_.Advance(700ms);
    CHECK(reported_age() == 700);
  }
  SECTION("by a process that was cut off before the order") {
    log_.current_as_of = clock_.Now();
    service_.UpdateZones();
    clock_.Advance(2000ms);
    OrderElsewhere(true);
    CHECK(reported_age() == 2000);
  }
  SECTION("by a process that has just started") {
    OrderElsewhere(true);
    CHECK(reported_age() == std::numeric_limits<std::uint32_t>::max());
  }
}

// Guards against an evacuation that ends because a process that was suspended
// reads an order from before it.
TEST_CASE_METHOD(ZoneOrderFixture,
                 "an order that waited for a suspended process does not undo a "
                 "later one") {
  OrderElsewhere(true);
  Run(1000ms);
  SECTION("that was preceded by the same order elsewhere") {
    OrderElsewhere(false);
    OrderElsewhere(true);
    Suspend(1500ms);
  }
  SECTION("that changed nothing") {
    OrderElsewhere(true);
    Suspend(1500ms);
  }
  SECTION("that was missed in the second of two suspensions") {
    Suspend(1500ms);
    Run(50ms);
    OrderElsewhere(true);
    Suspend(1500ms);
  }
  SECTION("and is read some time after the process has woken") {
    OrderElsewhere(true);
    Suspend(1500ms);
    Run(200ms);
  }
  CHECK(Order(false) != wire::POLICY_STATUS_DONE);
  CHECK(IsOut());
}

// Guards against the same where the order waits on its way to the leader.
TEST_CASE_METHOD(ZoneOrderFixture,
                 "an order that is forwarded late does not undo a later one") {
  OrderElsewhere(true);
  Run(1000ms);
  log_.is_leader = false;
  Order(false);
  REQUIRE(forwarded_.size() == 1);
  OrderElsewhere(false);
  OrderElsewhere(true);
  log_.is_leader = true;
  Run(5000ms);
  wire::PolicyStatus status = wire::POLICY_STATUS_UNAVAILABLE;
  service_.ExecuteAsLeader(forwarded_[0], [&](const wire::PolicyReply& reply) {
    status = reply.status();
  });
  CHECK(status != wire::POLICY_STATUS_DONE);
  CHECK(IsOut());
}

// Guards against the same where the network holds an order back.
TEST_CASE_METHOD(ZoneOrderFixture,
                 "an order that may have been sent before another one does not "
                 "undo it") {
  OrderElsewhere(true);
  Run(1000ms);
  OrderElsewhere(false);
  OrderElsewhere(true);
  Run(2000ms);
  CHECK(Order(false, 2500ms) != wire::POLICY_STATUS_DONE);
  CHECK(IsOut());
  CHECK(Order(false, 1500ms) == wire::POLICY_STATUS_DONE);
  CHECK_FALSE(IsOut());
}

// Guards against operators whose orders are refused for good, or for longer
// than they try again.
TEST_CASE_METHOD(ZoneOrderFixture, "an order in time is carried out") {
  Run(1000ms);
  CHECK(Order(true) == wire::POLICY_STATUS_DONE);
  CHECK(Order(true) == wire::POLICY_STATUS_DONE);
  CHECK(IsOut());
  Run(500ms);
  CHECK(Order(false) == wire::POLICY_STATUS_DONE);
  CHECK_FALSE(IsOut());
  Suspend(1500ms);
  Run(500ms);
  CHECK(Order(true) == wire::POLICY_STATUS_DONE);
}

}  // namespace
}  // namespace yuccastair::control
