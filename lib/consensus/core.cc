// Startup, message dispatch, proposals and application of committed entries.

#include <algorithm>
#include <utility>

#include "core_impl.h"
#include "yuccastair/support/error.h"
#include "yuccastair/support/log.h"

namespace yuccastair::consensus {
namespace {

// Bounds the confirmations that wait for entries to be applied.
constexpr std::size_t kMaxFreshnessConfirmations = 64;

}  // namespace

std::int64_t ToNanoseconds(support::TimePoint time) {
  return std::chrono::nanoseconds(time.time_since_epoch()).count();
}

support::TimePoint FromNanoseconds(std::int64_t nanoseconds) {
  return support::TimePoint(std::chrono::nanoseconds(nanoseconds));
}

Core::Impl::Impl(CoreOptions options, Environment environment)
    : options_(std::move(options)), env_(std::move(environment)) {
  session_ = (static_cast<std::uint64_t>(env_.random(UINT32_MAX)) << 32U) |
             env_.random(UINT32_MAX);
  LoadState();
  last_leader_contact_ = Now();
  ResetElectionDeadline();
}

void Core::Impl::LoadState() {
  StoredState stored = env_.storage.TakeStoredState();
  term_ = stored.term;
  voted_for_ = stored.voted_for;
  if (stored.snapshot) {
    const wire::SnapshotMeta& meta = stored.snapshot->meta();
    log_.Reset(meta);
    snapshot_index_ = applied_index_ = commit_index_ = meta.index();
    env_.state_machine.RestoreSnapshot(stored.snapshot->data());
    // The log may predate the installation of the snapshot, and differ from it.
    const auto ends_snapshot = [&](const wire::LogEntry& entry) {
      return entry.index() == meta.index() && entry.term() == meta.term();
    };
    const bool continues_snapshot =
        stored.entries.empty() ||
        stored.entries.front().index() == meta.index() + 1 ||
        std::any_of(stored.entries.begin(), stored.entries.end(),
                    ends_snapshot);
    if (!continues_snapshot) {
      stored.entries.clear();
      env_.storage.SaveSnapshot(*stored.snapshot, {});
    }
  }
  for (wire::LogEntry& entry : stored.entries) {
    if (entry.index() > log_.last_index())
      log_.Append(std::move(entry));
  }
  synced_index_ = log_.last_index();
}

void Core::Impl::Receive(const wire::ConsensusMessage& message) {
  if (message.has_hello()) {
    HandleHello(message);
    return;
  }
  // The message is for an earlier identity at this address, whose data was
  // lost.
  if (message.to() != OwnIdentity())
    return;
  const std::string& cluster = log_.config().cluster_id();
  // A member that has no configuration yet sends no cluster id.
  if (!cluster.empty() && !message.cluster_id().empty() &&
      message.cluster_id() != cluster) {
    support::LogWarning("log.other_cluster", {{"peer", message.from_address()},
                                              {"cluster", message.cluster_id()},
                                              {"own_cluster", cluster}});
    return;
  }
  // HandleVoteRequest() decides whether to adopt the term of a vote request.
  if (message.has_vote_request()) {
    HandleVoteRequest(message);
    return;
  }
  if (message.term() > term_)
    BecomeFollower(message.term());
  switch (message.body_case()) {
    case wire::ConsensusMessage::kVoteReply:
      return HandleVoteReply(message);
    case wire::ConsensusMessage::kAppend:
      return HandleAppend(message);
    case wire::ConsensusMessage::kAppendReply:
      return HandleAppendReply(message);
    case wire::ConsensusMessage::kSnapshot:
      return HandleSnapshot(message);
    case wire::ConsensusMessage::kSnapshotReply:
      return HandleSnapshotReply(message);
    default:
      return;
  }
}

void Core::Impl::Tick() {
  SendHellos();
  BootstrapIfPossible();
  if (role_ == Role::kLeader) {
    TickLeader();
    return;
  }
  if (Now() < election_deadline_)
    return;
  ResetElectionDeadline();
  if (IsVoter(OwnIdentity()))
    StartPreVote();
}

void Core::Impl::Flush() {
  if (role_ == Role::kLeader) {
    AppendProposals();
    ReplicateToFollowers();
  }
  env_.storage.Sync();
  vote_dirty_ = false;
  synced_index_ = log_.last_index();
  if (role_ == Role::kLeader)
    AdvanceCommitIndex();
  ApplyCommitted();
  TakeSnapshotIfDue();
  for (OutgoingMessage& outgoing : std::exchange(outbox_, {}))
    env_.send(outgoing.address, std::move(outgoing.message));
}

wire::ConsensusMessage Core::Impl::MakeMessage(const std::string& to) const {
  wire::ConsensusMessage message;
  message.set_from(OwnIdentity());
  message.set_from_address(options_.address);
  message.set_to(to);
  message.set_cluster_id(log_.config().cluster_id());
  message.set_term(term_);
  return message;
}

void Core::Impl::SendAfterSync(const std::string& address,
                               wire::ConsensusMessage message) {
  outbox_.push_back({address, std::move(message)});
}

/// Sends a message without waiting for the sync of entries, because it does not
/// claim that they are durable here. Its term must be durable, though.
void Core::Impl::SendBeforeSync(const std::string& address,
                                wire::ConsensusMessage message) {
  if (vote_dirty_)
    SendAfterSync(address, std::move(message));
  else
    env_.send(address, std::move(message));
}

void Core::Impl::SetTermAndVote(std::uint64_t term,
                                const std::string& voted_for) {
  term_ = term;
  voted_for_ = voted_for;
  vote_dirty_ = true;
  env_.storage.SetTermAndVote(term, voted_for);
}

void Core::Impl::BecomeFollower(std::uint64_t term) {
  if (role_ == Role::kLeader) {
    support::LogInfo("log.leader_stepped_down", {{"term", term_}});
    current_as_of_ = CurrentAsOf();
  }
  role_ = Role::kFollower;
  followers_.clear();
  votes_.clear();
  leader_identity_.clear();
  leader_address_.clear();
  ResetElectionDeadline();
  if (term > term_)
    SetTermAndVote(term, "");
  FailProposals();
}

void Core::Impl::FailProposals() {
  const auto appended = std::exchange(appended_callbacks_, {});
  const auto pending = std::exchange(queued_proposals_, {});
  proposal_bytes_ = 0;
  for (const auto& [index, done] : appended)
    done({.status = ProposeStatus::kUncertain, .index = index, .result = ""});
  for (const Proposal& proposal : pending)
    proposal.done({});
}

void Core::Impl::Propose(std::string command, ProposeCallback done) {
  const std::size_t pending =
      queued_proposals_.size() + appended_callbacks_.size();
  const bool exceeds_bytes =
      pending > 0 &&
      proposal_bytes_ + command.size() > options_.max_pending_proposal_bytes;
  if (!IsCurrentLeader() || pending >= options_.max_pending_proposals ||
      exceeds_bytes)
    return done({});
  proposal_bytes_ += command.size();
  queued_proposals_.push_back({std::move(command), std::move(done)});
}

void Core::Impl::AppendEntry(wire::EntryKind kind, std::string payload) {
  wire::LogEntry entry;
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term_);
  entry.set_kind(kind);
  entry.set_payload(std::move(payload));
  env_.storage.Append(entry);
  log_.Append(std::move(entry));
}

void Core::Impl::AppendProposals() {
  for (Proposal& proposal : std::exchange(queued_proposals_, {})) {
    AppendEntry(wire::ENTRY_KIND_COMMAND, std::move(proposal.command));
    appended_callbacks_[log_.last_index()] = std::move(proposal.done);
  }
}

void Core::Impl::ApplyCommitted() {
  while (applied_index_ < commit_index_) {
    const wire::LogEntry entry = log_.EntryAt(applied_index_ + 1);
    // Updated first, because callbacks may read the state that includes the
    // entry.
    applied_index_ = entry.index();
    applied_bytes_since_snapshot_ += entry.payload().size();
    ApplyEntry(entry);
  }
  ApplyFreshnessConfirmations();
}

void Core::Impl::ApplyEntry(const wire::LogEntry& entry) {
  if (entry.kind() == wire::ENTRY_KIND_COMMAND) {
    std::string result =
        env_.state_machine.Apply(entry.index(), entry.payload());
    const auto found = appended_callbacks_.find(entry.index());
    if (found == appended_callbacks_.end())
      return;
    const ProposeCallback done = std::move(found->second);
    appended_callbacks_.erase(found);
    proposal_bytes_ -= entry.payload().size();
    done({.status = ProposeStatus::kCommitted,
          .index = entry.index(),
          .result = std::move(result)});
  } else if (entry.kind() == wire::ENTRY_KIND_CONFIG &&
             role_ == Role::kLeader && !IsVoter(OwnIdentity())) {
    BecomeFollower(term_);
  }
}

void Core::Impl::ApplyFreshnessConfirmations() {
  while (freshness_confirmations_.size() > kMaxFreshnessConfirmations)
    freshness_confirmations_.pop_back();
  while (!freshness_confirmations_.empty() &&
         freshness_confirmations_.front().commit_index <= applied_index_) {
    current_as_of_ = std::max(current_as_of_,
                              freshness_confirmations_.front().current_as_of);
    freshness_confirmations_.pop_front();
  }
}

bool Core::Impl::IsCurrentLeader() const {
  return role_ == Role::kLeader && applied_index_ >= term_start_index_ &&
         Now() < LastMajorityContact() + options_.lease_duration;
}

support::TimePoint Core::Impl::CurrentAsOf() const {
  if (role_ != Role::kLeader || applied_index_ < term_start_index_)
    return current_as_of_;
  return std::max(current_as_of_,
                  IsCurrentLeader() ? Now() : LastMajorityContact());
}

CoreStatus Core::Impl::Status() const {
  return {.role = role_,
          .term = term_,
          .last_index = log_.last_index(),
          .commit_index = commit_index_,
          .applied_index = applied_index_,
          .snapshot_index = snapshot_index_,
          .identity = OwnIdentity(),
          .config = log_.config()};
}

Core::Core(CoreOptions options, Environment environment)
    : impl_(
          std::make_unique<Impl>(std::move(options), std::move(environment))) {}
Core::~Core() = default;

void Core::Receive(const wire::ConsensusMessage& message) {
  impl_->Receive(message);
}
void Core::Tick() {
  impl_->Tick();
}
void Core::Flush() {
  impl_->Flush();
}
void Core::Propose(std::string command, ProposeCallback done) {
  impl_->Propose(std::move(command), std::move(done));
}
bool Core::RemoveMember(const std::string& identity) {
  return impl_->RemoveMember(identity);
}
bool Core::IsCurrentLeader() const {
  return impl_->IsCurrentLeader();
}
std::string Core::LeaderAddress() const {
  return impl_->LeaderAddress();
}
support::TimePoint Core::CurrentAsOf() const {
  return impl_->CurrentAsOf();
}
void Core::AddPeerAddress(const std::string& address) {
  impl_->AddPeerAddress(address);
}

std::vector<std::string> Core::KnownPeerAddresses() const {
  return impl_->KnownPeerAddresses();
}

CoreStatus Core::status() const {
  return impl_->Status();
}

}  // namespace yuccastair::consensus
