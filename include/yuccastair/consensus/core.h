// The replicated log: a Raft-style core driven by method calls.

#ifndef YUCCASTAIR_CONSENSUS_CORE_H_
#define YUCCASTAIR_CONSENSUS_CORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "consensus.pb.h"
#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/consensus/storage.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::consensus {

struct CoreOptions {
  /// Peer address of this process.
  std::string address;
  /// Peer addresses of all processes, or of some of them with
  /// `open_membership`. Without it, a process with a new identity is taken into
  /// the configuration only at one of these addresses.
  std::vector<std::string> peers;
  /// Takes processes at unknown addresses into the configuration. Each process
  /// learns the addresses of the others from the peers it greets.
  bool open_membership = false;
  /// Whether this process may form a new cluster with `peers`. With
  /// `open_membership`, to be set only where all disks are known to be empty: a
  /// process that lost its disk cannot tell a lost cluster from a new one.
  bool may_form_cluster = true;
  /// With `open_membership`, a voter that has not answered for this long is
  /// removed where the number of voters is even, since an even number of voters
  /// bears no more losses than one fewer.
  std::chrono::milliseconds forget{2000};
  std::chrono::milliseconds heartbeat{100};
  /// A follower grants no vote for this long after it heard from a leader.
  std::chrono::milliseconds election_min{600};
  std::chrono::milliseconds election_max{1200};
  /// Counted from the sending of a round that a majority answered. Shorter
  /// than election_min by a margin for clocks that run at different speeds.
  std::chrono::milliseconds lease{500};
  /// An unanswered message with entries is sent again after this time.
  std::chrono::milliseconds resend{300};
  std::chrono::milliseconds hello{200};
  std::size_t max_append_bytes = 1 << 20;
  std::size_t snapshot_chunk_bytes = 256 << 10;
  /// A snapshot is taken after this many entries or bytes.
  std::uint64_t snapshot_entries = 20000;
  std::size_t snapshot_bytes = 64 << 20;
  /// Entries kept in front of a snapshot for followers slightly behind.
  std::uint64_t retained_entries = 1000;
  /// Bounds of the proposals that are not applied yet. Those beyond are
  /// returned as kNotLeader, because nothing was appended.
  std::size_t max_proposals = 65536;
  std::size_t max_proposal_bytes = 64 << 20;
};

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

struct CoreStatus {
  Role role = Role::kFollower;
  std::uint64_t term = 0;
  std::uint64_t last_index = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  std::uint64_t snapshot_index = 0;
  std::string identity;
  wire::ConsensusConfig config;
};

/// One member of the replicated log. Opens no sockets and starts no threads.
///
/// The owner calls Receive(), Propose() and Tick() as events arrive, and then
/// Flush() once, which makes everything since the last call durable with one
/// sync before any message that depends on it is sent. Errors of the storage
/// pass through as support::Error and must end the process.
class Core final : public ReplicatedLog {
 public:
  struct Environment {
    const support::Clock& clock;
    Storage& storage;
    StateMachine& machine;
    /// Sends a message to the peer at an address; may lose it.
    std::function<void(const std::string&, wire::ConsensusMessage)> send;
    /// Returns a random number below its argument.
    std::function<std::uint32_t(std::uint32_t)> random;
  };

  /// Loads the stored state; the snapshot is restored, entries after it are
  /// applied once they are known to be committed.
  Core(CoreOptions options, Environment environment);
  ~Core() override;
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  void Receive(const wire::ConsensusMessage& message);
  /// To be called at least every few milliseconds.
  void Tick();
  void Flush();

  void Propose(std::string command, Done done) override;
  /// Removes a member. Returns false if this process is not the leader, the
  /// identity is unknown or another change is under way.
  bool RemoveMember(const std::string& identity);

  bool IsCurrentLeader() const override;
  std::string LeaderAddress() const override;
  support::TimePoint CurrentAsOf() const override;
  CoreStatus status() const;
  /// Adds an address at which a process may be found, with open membership.
  void AddAddress(const std::string& address);
  /// Addresses of the processes that are known, with and without a vote.
  std::vector<std::string> KnownAddresses() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_CONSENSUS_CORE_H_
