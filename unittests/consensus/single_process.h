// One process of the log; the test sends the messages of its peers.

#ifndef YUCCASTAIR_UNITTESTS_CONSENSUS_SINGLE_PROCESS_H_
#define YUCCASTAIR_UNITTESTS_CONSENSUS_SINGLE_PROCESS_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "in_memory_file_system.h"
#include "yuccastair/consensus/core.h"
#include "yuccastair/consensus/disk_storage.h"

namespace yuccastair::consensus {

class EmptyStateMachine final : public StateMachine {
 public:
  std::string Apply(std::uint64_t, const std::string&) override { return ""; }
  std::string TakeSnapshot() const override { return ""; }
  void RestoreSnapshot(const std::string&) override {}
};

/// A process at the address "self" with the peers "a" and "b", whose identities
/// equal their addresses.
class SingleProcess {
 public:
  SingleProcess() { Start(); }

  void CrashAndRestart() {
    core_.reset();
    storage_.reset();
    std::mt19937_64 random(1);
    files_.Crash(random);
    Start();
  }

  wire::ConsensusMessage MessageFrom(const std::string& peer,
                                     std::uint64_t term) {
    wire::ConsensusMessage message;
    message.set_from(peer);
    message.set_from_address(peer);
    message.set_to(storage_->Identity());
    message.set_term(term);
    return message;
  }

  void Advance(std::chrono::milliseconds by) { clock_.Advance(by); }
  Core& core() { return *core_; }
  const std::string& identity() const { return storage_->Identity(); }

  /// Returns the messages sent since the last call.
  std::vector<wire::ConsensusMessage> TakeSent() {
    return std::exchange(sent_, {});
  }

 private:
  void Start() {
    storage_.emplace(files_, "d");
    CoreOptions options;
    options.address = "self";
    options.peers = {"self", "a", "b"};
    core_.emplace(
        options,
        Core::Environment{.clock = clock_,
                          .storage = *storage_,
                          .state_machine = machine_,
                          .send =
                              [this](const std::string&,
                                     const wire::ConsensusMessage& message) {
                                sent_.push_back(message);
                              },
                          .random = [](std::uint32_t) { return 0U; }});
  }

  support::ManualClock clock_;
  InMemoryFileSystem files_;
  EmptyStateMachine machine_;
  std::optional<DiskStorage> storage_;
  std::optional<Core> core_;
  std::vector<wire::ConsensusMessage> sent_;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_UNITTESTS_CONSENSUS_SINGLE_PROCESS_H_
