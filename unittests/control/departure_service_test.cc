// Tests that a departure is confirmed only once the log holds it.

#include "departure_service.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fake_log.h"
#include "yuccastair/state/table_dispatcher.h"

namespace yuccastair::control {
namespace {

wire::DepartureReport Report(const std::string& target,
                             std::uint64_t started_ms) {
  wire::DepartureReport report;
  report.set_node_id("n");
  report.mutable_process()->set_target_id(target);
  report.mutable_process()->set_started_ms(started_ms);
  return report;
}

class DepartureServiceFixture {
 protected:
  DepartureServiceFixture() { dispatcher_.Add(wire::TABLE_DEPARTURES, table_); }
  void Handle(const wire::DepartureReport& report) {
    service_.Handle(report, [this](const wire::DepartureReply& reply) {
      held_.push_back(reply.held());
    });
  }
  wire::SyncReply SyncOf(const std::string& node) {
    wire::SyncRequest request;
    request.mutable_self()->set_node_id(node);
    wire::SyncReply reply;
    service_.FillReply(request, reply);
    return reply;
  }

  membership::DepartureTable table_;
  state::TableDispatcher dispatcher_;
  FakeLog log_{dispatcher_};
  DepartureService service_{log_, table_};
  std::vector<bool> held_;
};

// Guards against an acknowledged departure that a crash forgets.
TEST_CASE_METHOD(DepartureServiceFixture,
                 "a departure is confirmed after its commit") {
  log_.commit_immediately = false;
  Handle(Report("a", 5));
  CHECK(held_.empty());
  log_.CommitAll();
  CHECK(held_ == std::vector<bool>{true});
  Handle(Report("a", 5));
  CHECK(held_ == std::vector<bool>{true, true});
  CHECK(log_.pending.empty());
}

TEST_CASE_METHOD(DepartureServiceFixture,
                 "a departure is not confirmed without a commit") {
  SECTION("by a process that is not the leader") {
    log_.is_leader = false;
    Handle(Report("a", 5));
  }
  SECTION("by a leader that loses its leadership") {
    log_.commit_immediately = false;
    Handle(Report("a", 5));
    log_.FinishAllUncertain(false);
  }
  SECTION("that names no target") {
    Handle(Report("", 5));
  }
  CHECK(held_ == std::vector<bool>{false});
}

TEST_CASE_METHOD(DepartureServiceFixture,
                 "a restarted node learns of the departure") {
  Handle(Report("a", 5));
  CHECK(SyncOf("n").departing_target().target_id() == "a");
  CHECK_FALSE(SyncOf("m").has_departing_target());
  wire::SyncRequest request;
  request.mutable_self()->set_node_id("n");
  *request.mutable_self()->mutable_departing_target() =
      Report("a", 5).process();
  wire::SyncReply reply;
  service_.FillReply(request, reply);
  CHECK_FALSE(reply.has_departing_target());
}

}  // namespace
}  // namespace yuccastair::control
