// Votes of one process across crashes. Guards against two votes in one term,
// which would allow two leaders.

#include <catch2/catch.hpp>
#include <optional>

#include "memory_files.h"
#include "yuccastair/consensus/core.h"
#include "yuccastair/consensus/disk_storage.h"

namespace yuccastair::consensus {
namespace {

class NoState final : public StateMachine {
 public:
  std::string Apply(std::uint64_t, const std::string&) override { return ""; }
  std::string TakeSnapshot() const override { return ""; }
  void RestoreSnapshot(const std::string&) override {}
};

/// A process that can be asked for votes and crashed.
class Voter {
 public:
  Voter() { Start(); }

  void CrashAndRestart() {
    core_.reset();
    storage_.reset();
    std::mt19937_64 random(1);
    files_.Crash(random);
    Start();
  }

  /// Returns whether the vote was granted.
  bool Ask(const std::string& candidate, std::uint64_t term) {
    wire::ConsensusMessage message;
    message.set_from(candidate);
    message.set_from_address(candidate);
    message.set_to(storage_->Identity());
    message.mutable_vote_request()->set_candidate_term(term);
    answer_.reset();
    core_->Receive(message);
    CHECK_FALSE(answer_);
    core_->Flush();
    REQUIRE(answer_);
    return answer_->vote_reply().granted();
  }

  void Advance(std::chrono::milliseconds by) { clock_.Advance(by); }

 private:
  void Start() {
    storage_.emplace(files_, "d");
    CoreOptions options;
    options.address = "voter";
    options.peers = {"voter", "a", "b"};
    core_.emplace(
        options,
        Core::Environment{.clock = clock_,
                          .storage = *storage_,
                          .machine = machine_,
                          .send =
                              [this](const std::string&,
                                     const wire::ConsensusMessage& message) {
                                answer_ = message;
                              },
                          .random = [](std::uint32_t) { return 0U; }});
  }

  support::ManualClock clock_;
  MemoryFiles files_;
  NoState machine_;
  std::optional<DiskStorage> storage_;
  std::optional<Core> core_;
  std::optional<wire::ConsensusMessage> answer_;
};

constexpr std::chrono::milliseconds kAfterContact{700};

TEST_CASE("a vote is kept across a crash, and is answered only once durable") {
  Voter voter;
  voter.Advance(kAfterContact);
  REQUIRE(voter.Ask("a", 5));
  voter.CrashAndRestart();
  voter.Advance(kAfterContact);
  CHECK_FALSE(voter.Ask("b", 5));
  CHECK(voter.Ask("a", 5));
  CHECK_FALSE(voter.Ask("b", 4));
  CHECK(voter.Ask("b", 6));
}

TEST_CASE("no vote is granted until a leader heard before a restart is past") {
  Voter voter;
  CHECK_FALSE(voter.Ask("a", 5));
  voter.Advance(kAfterContact);
  CHECK(voter.Ask("a", 5));
  voter.CrashAndRestart();
  CHECK_FALSE(voter.Ask("a", 6));
}

}  // namespace
}  // namespace yuccastair::consensus
