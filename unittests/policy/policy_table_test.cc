// The replicated policy: races, resends, snapshots.

#include "yuccastair/policy/policy_table.h"

#include <catch2/catch.hpp>

#include "yuccastair/support/error.h"

namespace yuccastair::policy {
namespace {

wire::PolicyReply Apply(PolicyTable& table,
                        const wire::PolicyRequest& request) {
  wire::PolicyReply reply;
  REQUIRE(reply.ParseFromString(table.Apply(1, request.SerializeAsString())));
  return reply;
}

wire::PolicyRequest Put(std::uint64_t base,
                        std::uint64_t version,
                        const std::string& source) {
  wire::PolicyRequest request;
  request.mutable_put()->set_base_version(base);
  request.mutable_put()->mutable_policy()->set_version(version);
  request.mutable_put()->mutable_policy()->set_source(source);
  return request;
}

wire::PolicyRequest Zone(const std::string& name, bool out) {
  wire::PolicyRequest request;
  request.mutable_zone()->set_zone(name);
  request.mutable_zone()->set_out(out);
  return request;
}

// Guards against two operators that both believe their change is in force.
TEST_CASE("of two changes on the same version one wins") {
  PolicyTable table;
  REQUIRE(Apply(table, Put(0, 4, "a")).status() == wire::POLICY_STATUS_DONE);
  CHECK(Apply(table, Put(4, 6, "b")).status() == wire::POLICY_STATUS_DONE);
  CHECK(Apply(table, Put(4, 7, "c")).status() == wire::POLICY_STATUS_CONFLICT);
  // The same number for another change.
  CHECK(Apply(table, Put(4, 6, "d")).status() == wire::POLICY_STATUS_CONFLICT);
  CHECK(table.state().policy().source() == "b");
}

// Guards against a refusal of a change whose first acknowledgement was lost.
TEST_CASE("a resent change is accepted and changes nothing") {
  PolicyTable table;
  Apply(table, Put(0, 4, "a"));
  CHECK(Apply(table, Put(0, 4, "a")).status() == wire::POLICY_STATUS_DONE);
  Apply(table, Put(4, 5, "b"));
  CHECK(Apply(table, Put(0, 4, "a")).status() == wire::POLICY_STATUS_DONE);
  CHECK(table.state().policy().version() == 5);
}

// Guards against a policy that goes back to an older version.
TEST_CASE("a version that does not grow is a conflict") {
  PolicyTable table;
  Apply(table, Put(0, 4, "a"));
  CHECK(Apply(table, Put(4, 4, "b")).status() == wire::POLICY_STATUS_CONFLICT);
  CHECK(Apply(table, Put(4, 3, "b")).status() == wire::POLICY_STATUS_CONFLICT);
  CHECK(table.state().policy().source() == "a");
}

// Guards against rates of an earlier policy, and against keys and documents
// that nodes have no use for on every sync.
TEST_CASE("what is derived follows the policy") {
  PolicyTable table;
  wire::PolicyRequest request = Put(0, 4, "document");
  wire::PolicyOrganisation* organisation =
      request.mutable_put()->mutable_policy()->add_organisations();
  organisation->set_name("org");
  organisation->set_rate(5);
  Apply(table, request);
  REQUIRE(table.FindOrganisation("org") != nullptr);
  CHECK(table.FindOrganisation("org")->rate() == 5);
  wire::Policy for_nodes;
  REQUIRE(for_nodes.ParseFromString(table.encoded()));
  CHECK(for_nodes.version() == 4);
  CHECK(for_nodes.source().empty());
  Apply(table, Put(4, 5, "without"));
  CHECK(table.FindOrganisation("org") == nullptr);
}

TEST_CASE("zones go out of service and come back once each") {
  PolicyTable table;
  CHECK(Apply(table, Zone("a", true)).status() == wire::POLICY_STATUS_DONE);
  CHECK(Apply(table, Zone("a", true)).status() == wire::POLICY_STATUS_DONE);
  CHECK(table.state().zones_out_size() == 1);
  CHECK(table.state().zones_revision() == 1);
  CHECK(Apply(table, Zone("a", false)).status() == wire::POLICY_STATUS_DONE);
  CHECK(Apply(table, Zone("a", false)).status() == wire::POLICY_STATUS_DONE);
  CHECK(table.state().zones_out_size() == 0);
  CHECK(table.state().zones_revision() == 2);
}

// Guards against an old change that undoes a newer one.
TEST_CASE("a change of a zone that may be older than the last one is refused") {
  PolicyTable table;
  Apply(table, Zone("a", true));
  const auto status = [&table](const std::string& name, bool out,
                               std::uint64_t changes_before) {
    wire::PolicyRequest request = Zone(name, out);
    request.mutable_zone()->set_changes_before(changes_before);
    return Apply(table, request).status();
  };
  CHECK(status("a", false, 0) == wire::POLICY_STATUS_SUPERSEDED);
  CHECK(table.state().zones_out_size() == 1);
  CHECK(table.state().zone_changes() == 1);
  // Without effect, so there is nothing to undo.
  CHECK(status("a", true, 0) == wire::POLICY_STATUS_DONE);
  CHECK(status("a", false, 1) == wire::POLICY_STATUS_SUPERSEDED);
  SECTION("also after a restart from a snapshot") {
    table.RestoreSnapshot(table.TakeSnapshot());
    CHECK(status("a", false, 1) == wire::POLICY_STATUS_SUPERSEDED);
  }
  CHECK(status("b", true, 0) == wire::POLICY_STATUS_DONE);
  CHECK(status("a", false, 2) == wire::POLICY_STATUS_DONE);
  CHECK(table.state().zones_out_size() == 1);
}

// Guards against a resend that is refused after a restart from a snapshot.
TEST_CASE("a snapshot holds policy, zones and accepted changes") {
  PolicyTable table;
  Apply(table, Put(0, 4, "a"));
  Apply(table, Put(4, 9, "b"));
  Apply(table, Zone("z", true));
  PolicyTable restored;
  restored.RestoreSnapshot(table.TakeSnapshot());
  CHECK(restored.state().policy().source() == "b");
  CHECK(restored.encoded() == table.encoded());
  CHECK(restored.state().zones_out(0) == "z");
  CHECK(Apply(restored, Put(0, 4, "a")).status() == wire::POLICY_STATUS_DONE);
}

TEST_CASE("a damaged snapshot is an error and a damaged command no change") {
  PolicyTable table;
  CHECK_THROWS_AS(table.RestoreSnapshot("\xff\xff"), support::Error);
  wire::PolicyReply reply;
  REQUIRE(reply.ParseFromString(table.Apply(1, "\xff\xff")));
  CHECK(reply.status() == wire::POLICY_STATUS_UNAVAILABLE);
}

}  // namespace
}  // namespace yuccastair::policy
