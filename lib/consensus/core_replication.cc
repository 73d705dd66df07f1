// Replication of entries from the leader to the other members.

#include <algorithm>
#include <functional>

#include "core_impl.h"
#include "yuccastair/support/error.h"

namespace yuccastair::consensus {

wire::ConsensusMessage Core::Impl::MakeAppendMessage(
    const std::string& identity,
    Follower& follower,
    std::uint64_t prev_index) {
  wire::ConsensusMessage message = MakeMessage(identity);
  wire::AppendRequest* append = message.mutable_append();
  append->set_sequence(++follower.last_sequence);
  append->set_prev_index(prev_index);
  append->set_prev_term(log_.TermAt(prev_index).value_or(0));
  append->set_commit(commit_index_);
  append->set_sent_at_ns(ToNanoseconds(Now()));
  // The lease guarantees that no other process has committed anything up to
  // now. The query arrived earlier, so commit_index_ covers its time.
  if (follower.freshness_query && IsCurrentLeader()) {
    *append->mutable_confirmed() = *follower.freshness_query;
    follower.freshness_query.reset();
  }
  follower.last_send_time = Now();
  return message;
}

void Core::Impl::SendHeartbeat(const std::string& identity,
                               Follower& follower) {
  // Index 0 matches any log, so the reply reports nothing about entries.
  const bool has_matched_entry = log_.TermAt(follower.match_index).has_value();
  SendBeforeSync(
      follower.address,
      MakeAppendMessage(identity, follower,
                        has_matched_entry ? follower.match_index : 0));
}

void Core::Impl::SendEntries(const std::string& identity, Follower& follower) {
  wire::ConsensusMessage message =
      MakeAppendMessage(identity, follower, follower.next_index - 1);
  std::size_t bytes = 0;
  for (std::uint64_t i = follower.next_index; i <= log_.last_index(); ++i) {
    const wire::LogEntry& entry = log_.EntryAt(i);
    bytes += entry.payload().size();
    if (i > follower.next_index && bytes > options_.max_append_bytes)
      break;
    *message.mutable_append()->add_entries() = entry;
  }
  follower.in_flight_sequence = follower.last_sequence;
  follower.in_flight_since = Now();
  SendBeforeSync(follower.address, std::move(message));
}

void Core::Impl::ReplicateToFollowers() {
  for (auto& [identity, follower] : followers_) {
    if (follower.in_flight_sequence != 0)
      continue;
    if (!follower.snapshot && !log_.TermAt(follower.next_index - 1))
      StartSnapshotTransfer(follower);
    if (follower.snapshot)
      SendSnapshotChunk(identity, follower);
    else if (follower.next_index <= log_.last_index())
      SendEntries(identity, follower);
  }
}

void Core::Impl::AcceptLeader(const wire::ConsensusMessage& message) {
  if (role_ == Role::kLeader)
    throw support::Error("follow leader", message.from_address(),
                         "two leaders in term " + std::to_string(term_));
  role_ = Role::kFollower;
  leader_identity_ = message.from();
  leader_address_ = message.from_address();
  last_leader_contact_ = Now();
  ResetElectionDeadline();
}

void Core::Impl::HandleAppend(const wire::ConsensusMessage& message) {
  const wire::AppendRequest& append = message.append();
  if (message.term() < term_) {
    ReplyToAppend(message, false, 0);
    return;
  }
  AcceptLeader(message);
  if (append.has_confirmed() && append.confirmed().session() == session_)
    freshness_confirmations_.push_back(
        {append.commit(), FromNanoseconds(append.confirmed().asked_at_ns())});
  const std::uint64_t prev = append.prev_index();
  // Committed entries are equal on all members, even those no longer in the
  // log.
  if (prev > commit_index_ && log_.TermAt(prev) != append.prev_term()) {
    std::uint64_t match_hint = std::min(prev - 1, log_.last_index());
    // Skips a whole term of conflicting entries in one round trip.
    const auto term = log_.TermAt(match_hint);
    if (prev <= log_.last_index()) {
      while (match_hint > commit_index_ && log_.TermAt(match_hint) == term)
        --match_hint;
    }
    ReplyToAppend(message, false, std::max(match_hint, commit_index_));
    return;
  }
  AppendReceivedEntries(append);
  const std::uint64_t matched =
      prev + static_cast<std::uint64_t>(append.entries_size());
  commit_index_ = std::max(commit_index_, std::min(append.commit(), matched));
  ReplyToAppend(message, true, matched);
}

void Core::Impl::AppendReceivedEntries(const wire::AppendRequest& append) {
  for (const wire::LogEntry& entry : append.entries()) {
    if (entry.index() <= commit_index_ ||
        log_.TermAt(entry.index()) == entry.term())
      continue;
    log_.TruncateFrom(entry.index());
    env_.storage.Append(entry);
    log_.Append(entry);
  }
}

void Core::Impl::ReplyToAppend(const wire::ConsensusMessage& message,
                               bool success,
                               std::uint64_t index) {
  wire::ConsensusMessage reply_message = MakeMessage(message.from());
  wire::AppendReply* reply = reply_message.mutable_append_reply();
  reply->set_sequence(message.append().sequence());
  reply->set_success(success);
  reply->set_index(index);
  reply->set_sent_at_ns(message.append().sent_at_ns());
  reply->mutable_query()->set_session(session_);
  reply->mutable_query()->set_asked_at_ns(ToNanoseconds(Now()));
  SendAfterSync(message.from_address(), std::move(reply_message));
}

void Core::Impl::HandleAppendReply(const wire::ConsensusMessage& message) {
  const auto found = followers_.find(message.from());
  if (role_ != Role::kLeader || message.term() != term_ ||
      found == followers_.end())
    return;
  Follower& follower = found->second;
  const wire::AppendReply& reply = message.append_reply();
  const bool is_awaited = reply.sequence() == follower.in_flight_sequence;
  RecordAcknowledgement(follower, reply.sequence(), reply.sent_at_ns());
  follower.freshness_query = reply.query();
  if (reply.success()) {
    follower.match_index = std::max(follower.match_index, reply.index());
    follower.next_index =
        std::max(follower.next_index, follower.match_index + 1);
  } else if (is_awaited) {
    follower.next_index =
        std::max(follower.match_index,
                 std::min(reply.index(), follower.next_index - 2)) +
        1;
  }
}

void Core::Impl::RecordAcknowledgement(Follower& follower,
                                       std::uint64_t sequence,
                                       std::int64_t sent_at_ns) {
  follower.acknowledged_send_time =
      std::max(follower.acknowledged_send_time, FromNanoseconds(sent_at_ns));
  if (sequence == follower.in_flight_sequence)
    follower.in_flight_sequence = 0;
}

void Core::Impl::AdvanceCommitIndex() {
  std::vector<std::uint64_t> durable_indexes;
  for (const wire::ConsensusMember& member : log_.config().members()) {
    if (member.learner())
      continue;
    const auto found = followers_.find(member.identity());
    if (member.identity() == OwnIdentity())
      durable_indexes.push_back(synced_index_);
    else
      durable_indexes.push_back(
          found == followers_.end() ? 0 : found->second.match_index);
  }
  if (durable_indexes.empty())
    return;
  std::sort(durable_indexes.begin(), durable_indexes.end(), std::greater<>());
  const std::uint64_t index = durable_indexes[Majority() - 1];
  // An entry of an earlier term that a majority holds may still be replaced.
  if (index > commit_index_ && log_.TermAt(index) == term_)
    commit_index_ = index;
}

}  // namespace yuccastair::consensus
