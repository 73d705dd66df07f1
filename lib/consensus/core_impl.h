// Implementation class of the log core; the core*.cc files define its methods.

#ifndef YUCCASTAIR_LIB_CONSENSUS_CORE_IMPL_H_
#define YUCCASTAIR_LIB_CONSENSUS_CORE_IMPL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry_log.h"
#include "yuccastair/consensus/core.h"

namespace yuccastair::consensus {

/// Earlier than any other time. The epoch of the monotonic clock is not early
/// enough, because it may be the boot time of the instance.
constexpr support::TimePoint kNever = support::TimePoint::min();

class Core::Impl {
 public:
  Impl(CoreOptions options, Environment environment);

  void Receive(const wire::ConsensusMessage& message);
  void Tick();
  void Flush();
  void Propose(std::string command, ProposeCallback done);
  bool RemoveMember(const std::string& identity);
  bool IsCurrentLeader() const;
  std::string LeaderAddress() const { return leader_address_; }
  support::TimePoint CurrentAsOf() const;
  CoreStatus Status() const;
  std::vector<std::string> KnownPeerAddresses() const;
  void AddPeerAddress(const std::string& address);

 private:
  using TimePoint = support::TimePoint;

  // State that a leader keeps for each other member.
  struct Follower {
    std::string address;
    std::uint64_t next_index = 1;
    // Highest index known to be durable at the follower; never decreases in a
    // term.
    std::uint64_t match_index = 0;
    std::uint64_t last_sequence = 0;
    // Sequence number of the message with entries or a snapshot chunk that
    // awaits its reply; 0 for none.
    std::uint64_t in_flight_sequence = 0;
    TimePoint in_flight_since = kNever;
    TimePoint last_send_time = kNever;
    // Send time of the latest message that the follower has replied to.
    TimePoint acknowledged_send_time = kNever;
    // Latest freshness query that has not been confirmed yet.
    std::optional<wire::FreshnessQuery> freshness_query;
    // Set while a snapshot is transferred.
    std::shared_ptr<const wire::SnapshotFile> snapshot;
    std::uint64_t snapshot_offset = 0;
  };
  struct Proposal {
    std::string command;
    ProposeCallback done;
  };
  struct ReceivedHello {
    std::string identity;
    TimePoint received_at = kNever;
    // When a message addressed to the identity of this process last reported
    // that its sender has no configuration.
    TimePoint reported_empty_at = kNever;
  };
  // A freshness confirmation, which takes effect once `commit_index` is applied
  // here.
  struct FreshnessConfirmation {
    std::uint64_t commit_index = 0;
    TimePoint current_as_of;
  };
  struct IncomingSnapshot {
    wire::SnapshotMeta meta;
    std::string data;
  };

  // core.cc
  void LoadState();
  TimePoint Now() const { return env_.clock.Now(); }
  const std::string& OwnIdentity() const { return env_.storage.Identity(); }
  wire::ConsensusMessage MakeMessage(const std::string& to) const;
  void SendAfterSync(const std::string& address,
                     wire::ConsensusMessage message);
  void SendBeforeSync(const std::string& address,
                      wire::ConsensusMessage message);
  void SetTermAndVote(std::uint64_t term, const std::string& voted_for);
  void BecomeFollower(std::uint64_t term);
  void FailProposals();
  void AppendEntry(wire::EntryKind kind, std::string payload);
  void AppendProposals();
  void ApplyCommitted();
  void ApplyEntry(const wire::LogEntry& entry);
  void ApplyFreshnessConfirmations();

  // core_election.cc
  void ResetElectionDeadline();
  void StartPreVote();
  void StartElection();
  void RequestVotes(bool pre_vote, std::uint64_t candidate_term);
  void CountVote(const std::string& identity);
  void BecomeLeader();
  bool HasRecentLeaderContact() const;
  bool IsLogUpToDate(const wire::VoteRequest& request) const;
  void HandleVoteRequest(const wire::ConsensusMessage& message);
  void HandleVoteReply(const wire::ConsensusMessage& message);
  TimePoint LastMajorityContact() const;
  void TickLeader();

  // core_replication.cc
  void SendEntries(const std::string& identity, Follower& follower);
  void SendHeartbeat(const std::string& identity, Follower& follower);
  wire::ConsensusMessage MakeAppendMessage(const std::string& identity,
                                           Follower& follower,
                                           std::uint64_t prev_index);
  void ReplicateToFollowers();
  void AcceptLeader(const wire::ConsensusMessage& message);
  void HandleAppend(const wire::ConsensusMessage& message);
  void AppendReceivedEntries(const wire::AppendRequest& append);
  void ReplyToAppend(const wire::ConsensusMessage& message,
                     bool success,
                     std::uint64_t index);
  void HandleAppendReply(const wire::ConsensusMessage& message);
  void RecordAcknowledgement(Follower& follower,
                             std::uint64_t sequence,
                             std::int64_t sent_at_ns);
  void AdvanceCommitIndex();

  // core_snapshot.cc
  void TakeSnapshotIfDue();
  void StartSnapshotTransfer(Follower& follower);
  void SendSnapshotChunk(const std::string& identity, Follower& follower);
  void HandleSnapshot(const wire::ConsensusMessage& message);
  void InstallSnapshot();
  void HandleSnapshotReply(const wire::ConsensusMessage& message);

  // core_membership.cc
  const wire::ConsensusMember* FindMember(const std::string& identity) const;
  bool IsVoter(const std::string& identity) const;
  std::size_t Majority() const;
  bool CanChangeConfig() const;
  void ProposeConfig(const wire::ConsensusConfig& config);
  void RefreshFollowers();
  bool IsReachable(const std::string& identity) const;
  bool IsCaughtUp(const std::string& identity) const;
  bool IsAddressOfReachableVoter(const std::string& address) const;
  bool RemoveStaleLearner();
  bool PromoteLearner();
  bool AddLearner();
  bool RemoveUnreachableVoter();
  void SendHellos();
  void HandleHello(const wire::ConsensusMessage& message);
  void BootstrapIfPossible();

  const CoreOptions options_;
  const Environment env_;
  // Distinguishes this run of the process in freshness queries.
  std::uint64_t session_ = 0;

  // Durable: term, vote and the entries of log_ up to synced_index_.
  std::uint64_t term_ = 0;
  std::string voted_for_;
  EntryLog log_;
  std::uint64_t synced_index_ = 0;
  bool vote_dirty_ = false;

  Role role_ = Role::kFollower;
  std::string leader_identity_;
  std::string leader_address_;
  // Time of the last message from a leader, initially the start of the process.
  // A restarted process does not know when a leader last contacted it, so the
  // start counts as contact.
  TimePoint last_leader_contact_;
  TimePoint election_deadline_;
  std::set<std::string> votes_;

  // snapshot_index_ <= applied_index_ <= commit_index_ <= log_.last_index().
  std::uint64_t commit_index_ = 0;
  std::uint64_t applied_index_ = 0;
  std::uint64_t snapshot_index_ = 0;
  std::size_t applied_bytes_since_snapshot_ = 0;
  std::optional<IncomingSnapshot> incoming_;

  // State of a leader.
  std::map<std::string, Follower> followers_;
  TimePoint leader_since_;
  // Index of the no-op entry with which the term started.
  std::uint64_t term_start_index_ = 0;
  std::vector<Proposal> queued_proposals_;
  std::map<std::uint64_t, ProposeCallback> appended_callbacks_;
  // Total size of the commands in queued_proposals_ and appended_callbacks_.
  std::size_t proposal_bytes_ = 0;

  std::deque<FreshnessConfirmation> freshness_confirmations_;
  TimePoint current_as_of_;

  // Addresses learned from hellos or AddPeerAddress(), beyond
  // CoreOptions::peers. Bounded.
  std::set<std::string> learned_addresses_;
  // Last hello from each address.
  std::map<std::string, ReceivedHello> received_hellos_;
  TimePoint last_hello_ = kNever;

  struct OutgoingMessage {
    std::string address;
    wire::ConsensusMessage message;
  };
  // Sent by Flush() once everything written so far is durable.
  std::vector<OutgoingMessage> outbox_;
};

/// Converts to and from the opaque times in messages.
std::int64_t ToNanoseconds(support::TimePoint time);
support::TimePoint FromNanoseconds(std::int64_t nanoseconds);

}  // namespace yuccastair::consensus

#endif  // YUCCASTAIR_LIB_CONSENSUS_CORE_IMPL_H_
