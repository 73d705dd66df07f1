// Takes snapshots, and transfers them to members that are far behind.

#include <algorithm>
#include <utility>

#include "core_impl.h"
#include "yuccastair/support/log.h"

namespace yuccastair::consensus {

void Core::Impl::TakeSnapshotIfDue() {
  if (applied_index_ - snapshot_index_ < options_.snapshot_threshold_entries &&
      applied_bytes_since_snapshot_ < options_.snapshot_threshold_bytes)
    return;
  wire::SnapshotFile snapshot;
  wire::SnapshotMeta* meta = snapshot.mutable_meta();
  meta->set_index(applied_index_);
  meta->set_term(*log_.TermAt(applied_index_));
  *meta->mutable_config() = log_.ConfigAt(applied_index_);
  snapshot.set_data(env_.state_machine.TakeSnapshot());
  const std::uint64_t last_dropped = log_.LastIndexBeyond(
      applied_index_, options_.retained_entries, options_.retained_bytes);
  env_.storage.SaveSnapshot(snapshot, log_.EntriesFrom(last_dropped + 1));
  log_.DropThrough(last_dropped);
  snapshot_index_ = applied_index_;
  applied_bytes_since_snapshot_ = 0;
  support::LogInfo("log.snapshot_taken", {{"index", snapshot_index_},
                                          {"bytes", snapshot.data().size()}});
}

void Core::Impl::StartSnapshotTransfer(Follower& follower) {
  // Members that need the same snapshot at the same time share one copy of it.
  for (const auto& [identity, other] : followers_) {
    if (other.snapshot && other.snapshot->meta().index() == snapshot_index_)
      follower.snapshot = other.snapshot;
  }
  if (!follower.snapshot)
    follower.snapshot =
        std::make_shared<const wire::SnapshotFile>(env_.storage.ReadSnapshot());
  follower.snapshot_offset = 0;
}

void Core::Impl::SendSnapshotChunk(const std::string& identity,
                                   Follower& follower) {
  wire::ConsensusMessage message = MakeMessage(identity);
  wire::SnapshotChunk* chunk = message.mutable_snapshot();
  const std::string& data = follower.snapshot->data();
  chunk->set_sequence(++follower.last_sequence);
  *chunk->mutable_meta() = follower.snapshot->meta();
  chunk->set_offset(follower.snapshot_offset);
  chunk->set_total(data.size());
  chunk->set_data(data.substr(
      std::min<std::uint64_t>(follower.snapshot_offset, data.size()),
      options_.snapshot_chunk_bytes));
  chunk->set_sent_at_ns(ToNanoseconds(Now()));
  follower.in_flight_sequence = follower.last_sequence;
  follower.in_flight_since = Now();
  follower.last_send_time = Now();
  SendBeforeSync(follower.address, std::move(message));
}

void Core::Impl::HandleSnapshot(const wire::ConsensusMessage& message) {
  const wire::SnapshotChunk& chunk = message.snapshot();
  wire::ConsensusMessage reply_message = MakeMessage(message.from());
  wire::SnapshotReply* reply = reply_message.mutable_snapshot_reply();
  reply->set_sequence(chunk.sequence());
  reply->set_index(chunk.meta().index());
  reply->set_sent_at_ns(chunk.sent_at_ns());
  if (message.term() == term_) {
    AcceptLeader(message);
    if (chunk.offset() == 0)
      incoming_ = IncomingSnapshot{chunk.meta(), ""};
    if (incoming_ && incoming_->meta.index() == chunk.meta().index() &&
        incoming_->meta.term() == chunk.meta().term()) {
      if (incoming_->data.size() == chunk.offset())
        incoming_->data += chunk.data();
      reply->set_next_offset(incoming_->data.size());
      if (incoming_->data.size() == chunk.total())
        InstallSnapshot();
    }
    reply->set_installed(commit_index_ >= chunk.meta().index());
  }
  SendAfterSync(message.from_address(), std::move(reply_message));
}

void Core::Impl::InstallSnapshot() {
  wire::SnapshotFile snapshot;
  *snapshot.mutable_meta() = std::move(incoming_->meta);
  snapshot.set_data(std::move(incoming_->data));
  incoming_.reset();
  const wire::SnapshotMeta& meta = snapshot.meta();
  if (meta.index() <= commit_index_)
    return;
  std::vector<wire::LogEntry> retained;
  if (log_.TermAt(meta.index()) == meta.term())
    retained = log_.EntriesFrom(meta.index() + 1);
  env_.storage.SaveSnapshot(snapshot, retained);
  env_.state_machine.RestoreSnapshot(snapshot.data());
  log_.Reset(meta);
  for (wire::LogEntry& entry : retained)
    log_.Append(std::move(entry));
  snapshot_index_ = applied_index_ = commit_index_ = meta.index();
  applied_bytes_since_snapshot_ = 0;
  support::LogInfo("log.snapshot_installed", {{"index", meta.index()}});
}

void Core::Impl::HandleSnapshotReply(const wire::ConsensusMessage& message) {
  const auto found = followers_.find(message.from());
  if (role_ != Role::kLeader || message.term() != term_ ||
      found == followers_.end())
    return;
  Follower& follower = found->second;
  const wire::SnapshotReply& reply = message.snapshot_reply();
  const bool is_awaited = reply.sequence() == follower.in_flight_sequence;
  RecordAcknowledgement(follower, reply.sequence(), reply.sent_at_ns());
  if (!follower.snapshot || !is_awaited ||
      reply.index() != follower.snapshot->meta().index())
    return;
  if (!reply.installed()) {
    follower.snapshot_offset = reply.next_offset();
    return;
  }
  follower.snapshot.reset();
  follower.match_index = std::max(follower.match_index, reply.index());
  follower.next_index = follower.match_index + 1;
}

}  // namespace yuccastair::consensus
