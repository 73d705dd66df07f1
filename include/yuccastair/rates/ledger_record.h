// Replicated state that identifies the latest rate ledger.

#ifndef YUCCASTAIR_RATES_LEDGER_RECORD_H_
#define YUCCASTAIR_RATES_LEDGER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "rates.pb.h"
#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::rates {

/// Returns the number of ledgers, up to and including the one of \p mark, whose
/// tokens may be outstanding; nothing if it is unknown.
std::optional<std::uint32_t> CountUnexpiredLedgers(
    const wire::LedgerMark& mark);

/// The state machine of the table TABLE_RATES of the replicated log.
///
/// A leader commits a mark for its ledger before it grants any token, and
/// another one when the ledger is settled, that is when all tokens of earlier
/// ledgers have expired. From the marks a new leader knows how many earlier
/// ledgers may have tokens outstanding.
class LedgerRecord final : public consensus::StateMachine {
 public:
  /// Applies a wire::LedgerMark and returns the previous mark. A mark that
  /// states a ledger as settled has an effect only if that ledger is the
  /// latest.
  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;

  /// Throws Error with step "restore snapshot" if the snapshot is damaged.
  void RestoreSnapshot(const std::string& snapshot) override;

 private:
  wire::LedgerMark mark_;
};

}  // namespace yuccastair::rates

#endif  // YUCCASTAIR_RATES_LEDGER_RECORD_H_
