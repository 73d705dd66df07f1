// Starts and ends the rate ledger of the leader and passes requests to it.

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

std::string EncodeLedgerMark(std::uint64_t epoch, bool settled) {
  wire::LedgerMark mark;
  mark.set_epoch(epoch);
  mark.set_settled(settled);
  return state::EncodeCommand(wire::TABLE_RATES, mark.SerializeAsString());
}

/// Returns the number of earlier ledgers whose tokens may be outstanding;
/// nothing if it is not known.
std::optional<std::uint32_t> ParseEarlierLedgerCount(
    const std::string& result) {
  wire::LedgerMark mark;
  if (!mark.ParseFromString(result))
    return std::nullopt;
  return rates::CountUnexpiredLedgers(mark);
}

}  // namespace

RateService::RateService(consensus::ReplicatedLog& log,
                         const support::Clock& clock,
                         rates::LimitLookup limit_lookup)
    : log_(log), clock_(clock), limit_lookup_(std::move(limit_lookup)) {}

void RateService::Tick() {
  if (!log_.IsCurrentLeader()) {
    if (ledger_ || ledger_start_pending_)
      ++leadership_generation_;
    ledger_.reset();
    ledger_start_pending_ = false;
    return;
  }
  if (!ledger_) {
    if (!ledger_start_pending_)
      StartLedger();
    return;
  }
  ledger_->RemoveExpired();
  if (ledger_->IsSettled() && !marked_settled_)
    MarkSettled();
}

void RateService::StartLedger() {
  ledger_start_pending_ = true;
  const std::uint64_t generation = leadership_generation_;
  const std::uint64_t epoch = RandomEpoch();
  log_.Propose(
      EncodeLedgerMark(epoch, false),
      [this, generation, epoch](const consensus::ProposeOutcome& outcome) {
        if (generation != leadership_generation_)
          return;
        ledger_start_pending_ = false;
        if (outcome.status != consensus::ProposeStatus::kCommitted ||
            !log_.IsCurrentLeader())
          return;
        const auto earlier_ledgers = ParseEarlierLedgerCount(outcome.result);
        ledger_.emplace(clock_, limit_lookup_, earlier_ledgers, epoch);
        marked_settled_ = false;
        // -1 if the number is not known.
        support::LogInfo(
            "rates.ledger_started",
            {{"earlier_ledgers",
              earlier_ledgers ? static_cast<std::int64_t>(*earlier_ledgers)
                              : -1}});
      });
}

void RateService::MarkSettled() {
  marked_settled_ = true;
  const std::uint64_t generation = leadership_generation_;
  log_.Propose(EncodeLedgerMark(ledger_->epoch(), true),
               [this, generation](const consensus::ProposeOutcome& outcome) {
                 if (generation == leadership_generation_ &&
                     outcome.status != consensus::ProposeStatus::kCommitted)
                   marked_settled_ = false;
               });
}

wire::RateGrant RateService::Handle(const wire::RateRequest& request) {
  // Tick() ends the ledger if the lease was lost, before another leader can
  // start one.
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
