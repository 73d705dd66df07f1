// Votes and commits of one process; the test sends the messages of its peers.
// Guards against two votes in one term and against commits that may be undone.

#include <catch2/catch.hpp>

#include "single_process.h"

namespace yuccastair::consensus {
namespace {

/// Requests a vote and returns whether it was granted.
bool RequestVote(SingleProcess& voter,
                 const std::string& from,
                 std::uint64_t term) {
  wire::ConsensusMessage message = voter.MessageFrom(from, 0);
  message.mutable_vote_request()->set_candidate_term(term);
  voter.TakeSent();
  voter.core().Receive(message);
  CHECK(voter.TakeSent().empty());
  voter.core().Flush();
  const auto sent = voter.TakeSent();
  REQUIRE(sent.size() == 1);
  return sent[0].vote_reply().granted();
}

constexpr std::chrono::milliseconds kLeaderContactExpiry{700};

TEST_CASE("a vote survives a crash, and the reply waits until it is durable") {
  SingleProcess voter;
  voter.Advance(kLeaderContactExpiry);
  REQUIRE(RequestVote(voter, "a", 5));
  voter.CrashAndRestart();
  voter.Advance(kLeaderContactExpiry);
  CHECK_FALSE(RequestVote(voter, "b", 5));
  CHECK(RequestVote(voter, "a", 5));
  CHECK_FALSE(RequestVote(voter, "b", 4));
  CHECK(RequestVote(voter, "b", 6));
}

TEST_CASE(
    "no vote is granted until leader contact before a restart has expired") {
  SingleProcess voter;
  CHECK_FALSE(RequestVote(voter, "a", 5));
  voter.Advance(kLeaderContactExpiry);
  CHECK(RequestVote(voter, "a", 5));
  voter.CrashAndRestart();
  CHECK_FALSE(RequestVote(voter, "a", 6));
}

TEST_CASE(
    "a leader commits entries of earlier terms only with one of its own") {
  SingleProcess process;
  wire::ConsensusMessage append = process.MessageFrom("a", 2);
  wire::LogEntry* entry = append.mutable_append()->add_entries();
  entry->set_index(1);
  entry->set_term(1);
  entry->set_kind(wire::ENTRY_KIND_CONFIG);
  wire::ConsensusConfig config;
  for (const std::string& member :
       {process.identity(), std::string("a"), std::string("b")}) {
    config.add_members()->set_identity(member);
  }
  entry->set_payload(config.SerializeAsString());
  entry = append.mutable_append()->add_entries();
  entry->set_index(2);
  entry->set_term(2);
  process.core().Receive(append);
  process.core().Flush();

  process.Advance(kLeaderContactExpiry);
  process.core().Tick();
  wire::ConsensusMessage vote = process.MessageFrom("b", 2);
  vote.mutable_vote_reply()->set_candidate_term(3);
  vote.mutable_vote_reply()->set_granted(true);
  vote.mutable_vote_reply()->set_pre_vote(true);
  process.core().Receive(vote);
  vote.set_term(3);
  vote.mutable_vote_reply()->set_pre_vote(false);
  process.core().Receive(vote);
  process.core().Flush();
  REQUIRE(process.core().status().role == Role::kLeader);
  REQUIRE(process.core().status().last_index == 3);

  // A majority holds entry 2, but a leader elected without this process could
  // still replace it.
  wire::ConsensusMessage reply = process.MessageFrom("b", 3);
  reply.mutable_append_reply()->set_success(true);
  reply.mutable_append_reply()->set_index(2);
  process.core().Receive(reply);
  process.core().Flush();
  CHECK(process.core().status().commit_index == 0);
  reply.mutable_append_reply()->set_index(3);
  process.core().Receive(reply);
  process.core().Flush();
  CHECK(process.core().status().commit_index == 3);
}

}  // namespace
}  // namespace yuccastair::consensus
