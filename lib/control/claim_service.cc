// Proposes batches of claim operations and replies to their senders.

#include "claim_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "yuccastair/state/table_dispatcher.h"

namespace yuccastair::control {

std::uint64_t LogicalTime::Stamp(std::uint64_t latest_ms) {
  const auto now = clock_.Now();
  if (!running_) {
    running_ = true;
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
    : log_(log), table_(table), time_(clock) {}

wire::ClaimReply ClaimService::NotLeader() const {
  wire::ClaimReply reply;
  reply.set_leader_address(log_.LeaderAddress());
  return reply;
}

void ClaimService::Handle(const wire::ClaimRequest& request,
                          const Answer& answer) {
  if (!log_.IsCurrentLeader() || waiting_.size() >= kMaxWaiting ||
      request.operations_size() > kMaxOperations) {
    answer(NotLeader());
    return;
  }
  // The applied state of the leader is current, so a claim that would not
  // change the state need not be committed.
  if (request.operations_size() == 1 &&
      request.operations(0).action() == wire::CLAIM_ACTION_CLAIM) {
    wire::ClaimReply reply;
    *reply.add_results() = table_.Peek(request.operations(0));
    if (reply.results(0).status() != wire::CLAIM_STATUS_GRANTED) {
      answer(reply);
      return;
    }
  }
  waiting_.push_back({request, answer});
  ProposeNext();
}

void ClaimService::Tick() {
  if (!log_.IsCurrentLeader())
    time_.Reset();
  ProposeNext();
}

void ClaimService::ProposeNext() {
  while (!under_way_ && !waiting_.empty()) {
    wire::ClaimCommand command;
    command.set_time_ms(time_.Stamp(table_.time_ms()));
    const auto batch = std::make_shared<std::vector<Waiting>>();
    while (!waiting_.empty() &&
           command.operations_size() < static_cast<int>(kMaxBatch)) {
      batch->push_back(std::move(waiting_.front()));
      waiting_.pop_front();
      command.mutable_operations()->MergeFrom(
          batch->back().request.operations());
    }
    under_way_ = true;
    log_.Propose(
        state::EncodeCommand(wire::TABLE_CLAIMS, command.SerializeAsString()),
        [this, batch](const consensus::ProposeOutcome& done) {
          under_way_ = false;
          AnswerAll(*batch, done);
          ProposeNext();
        });
  }
}

void ClaimService::AnswerAll(const std::vector<Waiting>& batch,
                             const consensus::ProposeOutcome& done) const {
  wire::ClaimResults results;
  const bool committed = done.status == consensus::ProposeStatus::kCommitted &&
                         results.ParseFromString(done.result);
  int next = 0;
  for (const Waiting& waiting : batch) {
    const int count = waiting.request.operations_size();
    if (!committed || next + count > results.results_size()) {
      waiting.answer(NotLeader());
      continue;
    }
    wire::ClaimReply reply;
    for (int i = 0; i < count; ++i)
      *reply.add_results() = results.results(next++);
    waiting.answer(reply);
  }
}

}  // namespace yuccastair::control
