// Proposes batches of claim operations and replies to their senders.

#include "claim_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "yuccastair/state/table_dispatcher.h"

namespace yuccastair::control {

std::uint64_t CommandClock::NextTimestampMs(std::uint64_t latest_ms) {
  const auto now = clock_.Now();
  if (!has_base_) {
    has_base_ = true;
    base_ms_ = latest_ms;
    base_at_ = now;
  }
  const auto passed =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - base_at_);
  return std::max(latest_ms,
                  base_ms_ + static_cast<std::uint64_t>(passed.count()));
}

ClaimService::ClaimService(consensus::ReplicatedLog& log,
                           const claims::ClaimTable& table,
                           const support::Clock& clock)
    : log_(log), table_(table), command_clock_(clock) {}

wire::ClaimReply ClaimService::MakeNotLeaderReply() const {
  wire::ClaimReply reply;
  reply.set_leader_address(log_.LeaderAddress());
  return reply;
}

void ClaimService::Handle(const wire::ClaimRequest& request,
                          const ReplyCallback& send_reply) {
  if (!log_.IsCurrentLeader() || pending_.size() >= kMaxPendingRequests ||
      request.operations_size() > kMaxOperationsPerRequest) {
    send_reply(MakeNotLeaderReply());
    return;
  }
  // The applied state of the leader is current, so a claim that would not
  // change the state need not be committed.
  if (request.operations_size() == 1 &&
      request.operations(0).action() == wire::CLAIM_ACTION_CLAIM) {
    wire::ClaimReply reply;
    *reply.add_results() = table_.Peek(request.operations(0));
    if (reply.results(0).status() != wire::CLAIM_STATUS_GRANTED) {
      send_reply(reply);
      return;
    }
  }
  pending_.push_back({request, send_reply});
  ProposeNext();
}

void ClaimService::Tick() {
  if (!log_.IsCurrentLeader())
    command_clock_.Reset();
  ProposeNext();
}

void ClaimService::ProposeNext() {
  while (!proposal_in_flight_ && !pending_.empty()) {
    wire::ClaimCommand command;
    command.set_time_ms(command_clock_.NextTimestampMs(table_.time_ms()));
    const auto batch = std::make_shared<std::vector<PendingRequest>>();
    while (!pending_.empty() && command.operations_size() <
                                    static_cast<int>(kFullCommandOperations)) {
      batch->push_back(std::move(pending_.front()));
      pending_.pop_front();
      command.mutable_operations()->MergeFrom(
          batch->back().request.operations());
    }
    proposal_in_flight_ = true;
    log_.Propose(
        state::EncodeCommand(wire::TABLE_CLAIMS, command.SerializeAsString()),
        [this, batch](const consensus::ProposeOutcome& outcome) {
          proposal_in_flight_ = false;
          ReplyToBatch(*batch, outcome);
          ProposeNext();
        });
  }
}

void ClaimService::ReplyToBatch(
    const std::vector<PendingRequest>& batch,
    const consensus::ProposeOutcome& outcome) const {
  wire::ClaimResults results;
  const bool committed =
      outcome.status == consensus::ProposeStatus::kCommitted &&
      results.ParseFromString(outcome.result);
  int next = 0;
  for (const PendingRequest& pending : batch) {
    const int count = pending.request.operations_size();
    if (!committed || next + count > results.results_size()) {
      pending.send_reply(MakeNotLeaderReply());
      continue;
    }
    wire::ClaimReply reply;
    for (int i = 0; i < count; ++i)
      *reply.add_results() = results.results(next++);
    pending.send_reply(reply);
  }
}

}  // namespace yuccastair::control
