// The core of the Raft-style replicated log, driven by method calls.

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
  /// Peer addresses of all processes; with `open_membership`, of some of them.
  /// Without `open_membership`, a process with a new identity joins the
  /// configuration only at one of these addresses.
  std::vector<std::string> peers;
  /// Adds processes at unknown addresses to the configuration. Each process
  /// learns the addresses of the others from the peers that reply to its
  /// hellos.
  bool open_membership = false;
  /// Whether this process may form a new cluster with `peers`. With
  /// `open_membership`, set it only if all disks are known to be empty: a
  /// process that lost its disk cannot tell whether a cluster existed before.
  bool may_form_cluster = true;
  /// With `open_membership`, the leader removes a voter that has not replied
  /// for this time if the number of voters is even. An even number of voters
  /// tolerates no more failures than one voter fewer.
  std::chrono::milliseconds unreachable_voter_timeout{2000};
  std::chrono::milliseconds heartbeat_interval{100};
  /// Minimum election timeout. A follower grants no vote for this time after
  /// the last message from a leader.
  std::chrono::milliseconds min_election_timeout{600};
  std::chrono::milliseconds max_election_timeout{1200};
  /// Duration of the leader's lease, counted from the send time of the messages
  /// that a majority replied to. Shorter than min_election_timeout by a margin
  /// for clocks that run at different rates.
  std::chrono::milliseconds lease_duration{500};
  /// Entries or a snapshot chunk are resent if no reply arrives within this
  /// time.
  std::chrono::milliseconds resend_timeout{300};
  std::chrono::milliseconds hello_interval{200};
  std::size_t max_append_bytes = 1 << 20;
  std::size_t snapshot_chunk_bytes = 256 << 10;
  /// A snapshot is taken after this many entries or bytes.
  std::uint64_t snapshot_threshold_entries = 20000;
  std::size_t snapshot_threshold_bytes = 16 << 20;
  /// Bounds of the number and total size of the entries covered by the snapshot
  /// that the log keeps, for followers that are slightly behind.
  std::uint64_t retained_entries = 1000;
  std::size_t retained_bytes = 4 << 20;
  /// Bounds of the number and total size of the proposals that are not applied
  /// yet. Proposals beyond them end with kNotLeader, because nothing was
  /// appended. A single proposal may be larger.
  std::size_t max_pending_proposals = 65536;
  std::size_t max_pending_proposal_bytes = 16 << 20;
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
/// Flush() once. Flush() makes everything since the previous call durable with
/// one sync, and then sends the messages that depend on it. Storage errors
/// propagate as support::Error; the process must exit on them.
class Core final : public ReplicatedLog {
 public:
  struct Environment {
    const support::Clock& clock;
    Storage& storage;
    StateMachine& state_machine;
    /// Sends a message to the peer at an address. The message may be lost.
    std::function<void(const std::string&, wire::ConsensusMessage)> send;
    /// Returns a random number below its argument.
    std::function<std::uint32_t(std::uint32_t)> random;
  };

  /// Loads the stored state and restores the snapshot. Entries after the
  /// snapshot are applied once they are known to be committed.
  Core(CoreOptions options, Environment environment);
  ~Core() override;
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  void Receive(const wire::ConsensusMessage& message);
  /// Runs the timers. Must be called at least every few milliseconds.
  void Tick();
  void Flush();

  void Propose(std::string command, ProposeCallback done) override;
  /// Removes a member. Returns false if this process is not the leader, the
  /// identity is unknown or another configuration change is in progress.
  bool RemoveMember(const std::string& identity);

  bool IsCurrentLeader() const override;
  std::string LeaderAddress() const override;
  support::TimePoint CurrentAsOf() const override;
  CoreStatus status() const;
  /// Adds the address of a possible peer. For use with open membership.
  void AddPeerAddress(const std::string& address);
  /// Returns the addresses of all known processes, with and without a vote.
  std::vector<std::string> KnownPeerAddresses() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_CONSENSUS_CORE_H_
