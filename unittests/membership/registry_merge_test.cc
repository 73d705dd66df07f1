// Control processes agree on the members after reordered, lost and duplicated
// messages, and drop no live member.

#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "yuccastair/membership/registry.h"

namespace yuccastair::membership {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kExpiry{3000};

wire::Member MakeMember(const std::string& id,
                        std::uint64_t started,
                        std::uint64_t sequence) {
  wire::Member member;
  member.set_node_id(id);
  member.set_incarnation(std::to_string(started));
  member.set_started_ms(started);
  member.set_sequence(sequence);
  member.set_service("orders");
  member.set_availability_zone("mids-a");
  member.set_address("127.0.0.1:1");
  member.set_state(wire::TARGET_STATE_UP);
  return member;
}

// The membership held by a node that follows "orders".
struct NodeView {
  void Sync(const Registry& registry) {
    wire::SyncReply reply;
    registry.FillReply("orders", revision, reply);
    for (const wire::ServiceMembers& report : reply.services()) {
      if (report.full())
        members.clear();
      else if (report.from_revision() != 0)
        REQUIRE(report.from_revision() == revision);
      for (const wire::Member& member : report.members())
        members[member.node_id()] = member;
      for (const std::string& id : report.removed_node_ids())
        members.erase(id);
      revision = report.revision();
    }
  }

  std::uint64_t revision = 0;
  std::map<std::string, wire::Member> members;
};

NodeView MakeNodeView(const Registry& registry) {
  NodeView view;
  view.Sync(registry);
  return view;
}

void PullAll(Registry& to, const Registry& from) {
  while (to.ApplyDelta("peer", from.HandlePull(to.MakePull("peer")))) {
  }
}

TEST_CASE("a late report of an earlier incarnation is ignored") {
  support::ManualClock clock;
  Registry registry(clock, kExpiry);
  registry.ApplyReport(MakeMember("a", 200, 1));
  registry.ApplyReport(MakeMember("a", 100, 50));
  CHECK(MakeNodeView(registry).members.at("a").incarnation() == "200");
}

TEST_CASE("a reordered report of the same incarnation is ignored") {
  support::ManualClock clock;
  Registry registry(clock, kExpiry);
  wire::Member leaving = MakeMember("a", 100, 9);
  leaving.set_state(wire::TARGET_STATE_LEAVING);
  registry.ApplyReport(MakeMember("a", 100, 7));
  registry.ApplyReport(leaving);
  registry.ApplyReport(MakeMember("a", 100, 8));
  CHECK(MakeNodeView(registry).members.empty());
}

TEST_CASE("a duplicate report does not extend the lifetime of a node") {
  support::ManualClock clock;
  Registry registry(clock, kExpiry);
  registry.ApplyReport(MakeMember("a", 100, 7));
  clock.Advance(milliseconds(2000));
  registry.ApplyReport(MakeMember("a", 100, 7));
  clock.Advance(milliseconds(1000));
  registry.RemoveExpired();
  CHECK(registry.size() == 0);
}

TEST_CASE("a node receives changes without the whole list") {
  support::ManualClock clock;
  Registry registry(clock, kExpiry);
  clock.Advance(kExpiry);
  for (int i = 0; i < 50; ++i)
    registry.ApplyReport(MakeMember("n" + std::to_string(i), 1, 1));
  NodeView view = MakeNodeView(registry);
  wire::Member draining = MakeMember("n7", 1, 2);
  draining.set_state(wire::TARGET_STATE_DRAINING);
  registry.ApplyReport(draining);
  wire::SyncReply reply;
  registry.FillReply("orders", view.revision, reply);
  REQUIRE(reply.services_size() == 1);
  CHECK(!reply.services(0).full());
  CHECK(reply.services(0).members_size() == 1);
  view.Sync(registry);
  CHECK(view.members.at("n7").state() == wire::TARGET_STATE_DRAINING);
  // More changes than are kept: the node receives the whole list.
  for (int round = 3; round < 10; ++round) {
    for (int i = 0; i < 50; ++i) {
      wire::Member member = MakeMember("n" + std::to_string(i), 1, round);
      member.set_address("127.0.0.1:" + std::to_string(round));
      registry.ApplyReport(member);
    }
  }
  view.Sync(registry);
  CHECK(view.members.at("n7").address() == "127.0.0.1:9");
}

TEST_CASE("a control process that has just started removes no live member") {
  support::ManualClock clock;
  Registry established(clock, kExpiry);
  clock.Advance(kExpiry);
  established.ApplyReport(MakeMember("a", 1, 1));
  established.ApplyReport(MakeMember("b", 1, 1));
  NodeView view = MakeNodeView(established);
  Registry restarted(clock, kExpiry);
  restarted.ApplyReport(MakeMember("a", 1, 2));
  view.Sync(restarted);
  CHECK(view.members.size() == 2);
  clock.Advance(milliseconds(2900));
  restarted.ApplyReport(MakeMember("a", 1, 3));
  view.Sync(restarted);
  CHECK(view.members.size() == 2);
  // "b" did not report within the expiry time.
  clock.Advance(milliseconds(100));
  view.Sync(restarted);
  CHECK(view.members.size() == 1);
}

TEST_CASE("a peer that has just started removes no live member elsewhere") {
  support::ManualClock clock;
  Registry source(clock, kExpiry);
  Registry puller(clock, kExpiry);
  clock.Advance(kExpiry);
  source.ApplyReport(MakeMember("a", 1, 1));
  PullAll(puller, source);
  REQUIRE(puller.size() == 1);
  Registry restarted(clock, kExpiry);
  PullAll(puller, restarted);
  CHECK(puller.size() == 1);
  clock.Advance(kExpiry);
  PullAll(puller, restarted);
  CHECK(puller.size() == 0);
}

TEST_CASE("members of a zone are advertised only while it is in service") {
  support::ManualClock clock;
  Registry registry(clock, kExpiry);
  clock.Advance(kExpiry);
  registry.ApplyReport(MakeMember("a", 1, 1));
  NodeView view = MakeNodeView(registry);
  registry.SetZonesOut({"mids-a"});
  view.Sync(registry);
  CHECK(view.members.empty());
  registry.SetZonesOut({});
  view.Sync(registry);
  CHECK(view.members.size() == 1);
}

TEST_CASE("a large number of nodes is pulled in bounded messages") {
  support::ManualClock clock;
  Registry source(clock, kExpiry);
  Registry puller(clock, kExpiry);
  clock.Advance(kExpiry);
  for (int i = 0; i < 2000; ++i)
    source.ApplyReport(MakeMember("n" + std::to_string(i), 1, 1));
  const auto delta = source.HandlePull(puller.MakePull("peer"));
  CHECK(delta.more());
  CHECK(delta.members_size() <=
        static_cast<int>(MemberChangeLog::kMaxEntriesPerDelta));
  PullAll(puller, source);
  CHECK(puller.size() == 2000);
}

TEST_CASE("members of a silent peer expire unless they report elsewhere") {
  support::ManualClock clock;
  Registry source(clock, kExpiry);
  Registry puller(clock, kExpiry);
  clock.Advance(kExpiry);
  source.ApplyReport(MakeMember("a", 1, 1));
  source.ApplyReport(MakeMember("b", 1, 1));
  PullAll(puller, source);
  clock.Advance(milliseconds(1500));
  puller.ApplyReport(MakeMember("b", 1, 4));
  clock.Advance(milliseconds(1500));
  puller.RemoveExpired();
  const NodeView view = MakeNodeView(puller);
  CHECK(view.members.size() == 1);
  CHECK(view.members.count("b") == 1);
}

void RunRandomScenario(unsigned seed) {
  std::mt19937 random(seed);
  const auto random_below = [&](unsigned bound) { return random() % bound; };
  support::ManualClock clock;
  Registry source(clock, kExpiry);
  Registry puller(clock, kExpiry);
  std::vector<wire::MembershipDelta> delayed_deltas;
  std::vector<wire::Member> delayed_reports;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> nodes;
  NodeView view;
  for (int step = 0; step < 1500; ++step) {
    clock.Advance(milliseconds(10));
    const std::string id = "n" + std::to_string(random_below(30));
    if (random_below(50) == 0 || nodes[id].first == 0)
      nodes[id] = {static_cast<std::uint64_t>(step) + 1, 0};
    wire::Member member = MakeMember(id, nodes[id].first, ++nodes[id].second);
    if (random_below(5) == 0)
      member.set_state(wire::TARGET_STATE_DRAINING);
    Registry& receiver = random_below(3) == 0 ? puller : source;
    if (random_below(4) != 0)
      receiver.ApplyReport(member);
    if (random_below(3) == 0)
      delayed_reports.push_back(member);
    if (!delayed_reports.empty() && random_below(3) == 0)
      receiver.ApplyReport(delayed_reports[random_below(
          static_cast<unsigned>(delayed_reports.size()))]);
    delayed_deltas.push_back(source.HandlePull(puller.MakePull("peer")));
    if (random_below(2) == 0)
      puller.ApplyDelta("peer", delayed_deltas.back());
    if (random_below(8) == 0)
      puller.ApplyDelta("peer",
                        delayed_deltas[random_below(
                            static_cast<unsigned>(delayed_deltas.size()))]);
    source.RemoveExpired();
    puller.RemoveExpired();
    view.Sync(puller);
  }
  INFO("seed " << seed);
  // Once every node has reported and the reports are pulled, the view holds
  // exactly the live members.
  std::set<std::string> live;
  for (auto& [id, counters] : nodes) {
    if (counters.first == 0)
      continue;
    live.insert(id);
    source.ApplyReport(MakeMember(id, counters.first, ++counters.second));
  }
  PullAll(puller, source);
  view.Sync(puller);
  std::set<std::string> seen;
  for (const auto& [id, member] : view.members) {
    seen.insert(id);
    CHECK(member.started_ms() == nodes[id].first);
  }
  CHECK(seen == live);
}

TEST_CASE("views agree after lost, late and duplicated messages") {
  for (unsigned seed = 1; seed <= 40; ++seed)
    RunRandomScenario(seed);
}

TEST_CASE("random deltas and pulls never crash") {
  std::mt19937 random(1);
  support::ManualClock clock;
  Registry registry(clock, kExpiry);
  for (int i = 0; i < 20000; ++i) {
    wire::MembershipDelta delta;
    delta.set_epoch(random() % 3);
    delta.set_from_sequence(random() % 4);
    delta.set_to_sequence(random() % 6);
    delta.set_more(random() % 2 == 0);
    *delta.add_members() = MakeMember("n" + std::to_string(random() % 9),
                                      random() % 3, random() % 3);
    delta.add_removed_node_ids("n" + std::to_string(random() % 9));
    registry.ApplyDelta("p" + std::to_string(random() % 2), delta);
    registry.ApplyReport(MakeMember("n" + std::to_string(random() % 9),
                                    random() % 3, random() % 3));
    wire::MembershipPull pull;
    pull.set_epoch(random());
    pull.set_sequence(random());
    registry.HandlePull(pull);
    clock.Advance(milliseconds(random() % 400));
    registry.RemoveExpired();
  }
  clock.Advance(kExpiry);
  registry.RemoveExpired();
  CHECK(registry.size() == 0);
}

}  // namespace
}  // namespace yuccastair::membership
