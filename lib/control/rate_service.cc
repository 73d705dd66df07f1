// Starts, serves and ends the rate ledger of the leader.

#include "rate_service.h"

#include <utility>

#include "yuccastair/rates/ledger_record.h"
#include "yuccastair/state/table_dispatcher.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::control {
namespace {

std::uint64_t RandomEpoch() {
  return (std::uint64_t{support::RandomBelow(0xffffffff)} << 32) |
         (std::uint64_t{support::RandomBelow(0xffffffff)} + 1);
}

std::string EncodeMark(std::uint64_t epoch, bool settled) {
  wire::LedgerMark mark;
  mark.set_epoch(epoch);
  mark.set_settled(settled);
  return state::EncodeCommand(wire::TABLE_RATES, mark.SerializeAsString());
}

/// Returns of how many ledgers up to the one before tokens may be outstanding.
std::optional<std::uint32_t> ReadEarlierLedgers(const std::string& result) {
  wire::LedgerMark mark;
  if (!mark.ParseFromString(result))
    return std::nullopt;
  return rates::CountUnexpiredLedgers(mark);
}

}  // namespace

RateService::RateService(consensus::ReplicatedLog& log,
                         const support::Clock& clock,
                         rates::LimitLookup limits)
    : log_(log), clock_(clock), limits_(std::move(limits)) {}

void RateService::Tick() {
  if (!log_.IsCurrentLeader()) {
    if (ledger_ || starting_)
      ++leadership_;
    ledger_.reset();
    starting_ = false;
    return;
  }
  if (!ledger_) {
    if (!starting_)
      StartLedger();
    return;
  }
  ledger_->RemoveExpired();
  if (ledger_->IsSettled() && !marked_settled_)
    MarkSettled();
}

void RateService::StartLedger() {
  starting_ = true;
  const std::uint64_t leadership = leadership_;
  const std::uint64_t epoch = RandomEpoch();
  log_.Propose(
      EncodeMark(epoch, false),
      [this, leadership, epoch](const consensus::ProposeOutcome& done) {
        if (leadership != leadership_)
          return;
        starting_ = false;
        if (done.status != consensus::ProposeStatus::kCommitted ||
            !log_.IsCurrentLeader())
          return;
        const auto earlier = ReadEarlierLedgers(done.result);
        ledger_.emplace(clock_, limits_, earlier, epoch);
        marked_settled_ = false;
        // -1 if their number is not known.
        support::LogInfo(
            "rates.ledger_started",
            {{"earlier_ledgers",
              earlier ? static_cast<std::int64_t>(*earlier) : -1}});
      });
}

void RateService::MarkSettled() {
  marked_settled_ = true;
  const std::uint64_t leadership = leadership_;
  log_.Propose(EncodeMark(ledger_->epoch(), true),
               [this, leadership](const consensus::ProposeOutcome& done) {
                 if (leadership == leadership_ &&
                     done.status != consensus::ProposeStatus::kCommitted)
                   marked_settled_ = false;
               });
}

wire::RateGrant RateService::Handle(const wire::RateRequest& request) {
  // A lost lease ends the ledger before another leader can start one.
  Tick();
  if (ledger_)
    return ledger_->Handle(request);
  wire::RateGrant reply;
  reply.set_sequence(request.sequence());
  reply.set_incarnation(request.incarnation());
  reply.set_not_leader(true);
  reply.set_leader_address(log_.LeaderAddress());
  return reply;
}

}  // namespace yuccastair::control
