// Replication of entries from the leader to the other members.

#include <algorithm>
#include <functional>

#include "core_impl.h"
#include "yuccastair/support/error.h"

namespace yuccastair::consensus {

wire::ConsensusMessage Core::Impl::AppendMessage(const std::string& identity,
                                                 Follower& follower,
                                                 std::uint64_t prev_index) {
  wire::ConsensusMessage message = Message(identity);
  wire::AppendRequest* append = message.mutable_append();
  append->set_sequence(++follower.sequence);
  append->set_prev_index(prev_index);
  append->set_prev_term(log_.TermAt(prev_index).value_or(0));
  append->set_commit(commit_index_);
  append->set_sent_at_ns(ToNanoseconds(Now()));
  // The lease guarantees that no other process has committed anything up to
  // now. The query arrived earlier, so commit_index_ covers its time.
  if (follower.query && IsCurrentLeader()) {
    *append->mutable_confirmed() = *follower.query;
    follower.query.reset();
  }
  follower.last_sent = Now();
  return message;
}

void Core::Impl::SendHeartbeat(const std::string& identity,
                               Follower& follower) {
  // Index 0 matches any log, so the reply reports nothing about entries.
  const bool known = log_.TermAt(follower.match).has_value();
  PostEarly(follower.address,
            AppendMessage(identity, follower, known ? follower.match : 0));
}

void Core::Impl::SendEntries(const std::string& identity, Follower& follower) {
  wire::ConsensusMessage message =
      AppendMessage(identity, follower, follower.next - 1);
  std::size_t bytes = 0;
  for (std::uint64_t i = follower.next; i <= log_.last_index(); ++i) {
    const wire::LogEntry& entry = log_.At(i);
    bytes += entry.payload().size();
    if (i > follower.next && bytes > options_.max_append_bytes)
      break;
    *message.mutable_append()->add_entries() = entry;
  }
  follower.in_flight = follower.sequence;
  follower.in_flight_since = Now();
  PostEarly(follower.address, std::move(message));
}

void Core::Impl::ReplicateAll() {
  for (auto& [identity, follower] : followers_) {
    if (follower.in_flight != 0)
      continue;
    if (!follower.transfer && !log_.TermAt(follower.next - 1))
      StartTransfer(follower);
    if (follower.transfer)
      SendChunk(identity, follower);
    else if (follower.next <= log_.last_index())
      SendEntries(identity, follower);
  }
}

void Core::Impl::AcceptLeader(const wire::ConsensusMessage& message) {
  if (role_ == Role::kLeader)
    throw support::Error("follow leader", message.from_address(),
                         "two leaders in term " + std::to_string(term_));
  role_ = Role::kFollower;
  leader_ = message.from();
  leader_address_ = message.from_address();
  leader_contact_ = Now();
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
    confirmations_.push_back(
        {append.commit(), FromNanoseconds(append.confirmed().asked_at_ns())});
  const std::uint64_t prev = append.prev_index();
  // Committed entries are equal on all members, even those no longer in the
  // log.
  if (prev > commit_index_ && log_.TermAt(prev) != append.prev_term()) {
    std::uint64_t hint = std::min(prev - 1, log_.last_index());
    // Skips a whole term of conflicting entries in one round trip.
    const auto term = log_.TermAt(hint);
    if (prev <= log_.last_index()) {
      while (hint > commit_index_ && log_.TermAt(hint) == term)
        --hint;
    }
    ReplyToAppend(message, false, std::max(hint, commit_index_));
    return;
  }
  TakeEntries(append);
  const std::uint64_t matched =
      prev + static_cast<std::uint64_t>(append.entries_size());
  commit_index_ = std::max(commit_index_, std::min(append.commit(), matched));
  ReplyToAppend(message, true, matched);
}

void Core::Impl::TakeEntries(const wire::AppendRequest& append) {
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
  wire::ConsensusMessage answer = Message(message.from());
  wire::AppendReply* reply = answer.mutable_append_reply();
  reply->set_sequence(message.append().sequence());
  reply->set_success(success);
  reply->set_index(index);
  reply->set_sent_at_ns(message.append().sent_at_ns());
  reply->mutable_query()->set_session(session_);
  reply->mutable_query()->set_asked_at_ns(ToNanoseconds(Now()));
  Post(message.from_address(), std::move(answer));
}

void Core::Impl::HandleAppendReply(const wire::ConsensusMessage& message) {
  const auto found = followers_.find(message.from());
  if (role_ != Role::kLeader || message.term() != term_ ||
      found == followers_.end())
    return;
  Follower& follower = found->second;
  const wire::AppendReply& reply = message.append_reply();
  const bool current = reply.sequence() == follower.in_flight;
  NoteAnswer(follower, reply.sequence(), reply.sent_at_ns());
  follower.query = reply.query();
  if (reply.success()) {
    follower.match = std::max(follower.match, reply.index());
    follower.next = std::max(follower.next, follower.match + 1);
  } else if (current) {
    follower.next =
        std::max(follower.match, std::min(reply.index(), follower.next - 2)) +
        1;
  }
}

void Core::Impl::NoteAnswer(Follower& follower,
                            std::uint64_t sequence,
                            std::int64_t sent_at_ns) {
  follower.acknowledged_sent_at =
      std::max(follower.acknowledged_sent_at, FromNanoseconds(sent_at_ns));
  if (sequence == follower.in_flight)
    follower.in_flight = 0;
}

void Core::Impl::AdvanceCommit() {
  std::vector<std::uint64_t> durable;
  for (const wire::ConsensusMember& member : log_.config().members()) {
    if (member.learner())
      continue;
    const auto found = followers_.find(member.identity());
    if (member.identity() == Self())
      durable.push_back(synced_index_);
    else
      durable.push_back(found == followers_.end() ? 0 : found->second.match);
  }
  if (durable.empty())
    return;
  std::sort(durable.begin(), durable.end(), std::greater<>());
  const std::uint64_t index = durable[Majority() - 1];
  // An entry of an earlier term that a majority holds may still be replaced.
  if (index > commit_index_ && log_.TermAt(index) == term_)
    commit_index_ = index;
}

}  // namespace yuccastair::consensus
