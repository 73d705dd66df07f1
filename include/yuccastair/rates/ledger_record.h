// The replicated record of the latest rate ledger.

#ifndef YUCCASTAIR_RATES_LEDGER_RECORD_H_
#define YUCCASTAIR_RATES_LEDGER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "rates.pb.h"
#include "yuccastair/consensus/state_machine.h"

namespace yuccastair::rates {

/// Returns the number of ledgers whose tokens may be outstanding after the one
/// of \p mark; nothing if it is not known.
std::optional<std::uint32_t> LedgersUpTo(const wire::LedgerMark& mark);

/// The table TABLE_RATES of the replicated log.
///
/// A leader commits a mark for its ledger before it grants anything, and
/// another one when the ledger is settled. So a new leader knows of how many
/// earlier ledgers tokens may be outstanding.
class LedgerRecord final : public consensus::StateMachine {
 public:
  /// Applies a wire::LedgerMark and returns the mark that stood before. A mark
  /// that calls a ledger settled counts only while that ledger is the latest.
  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;

  /// Throws Error with step "restore snapshot" if the snapshot is damaged.
  void RestoreSnapshot(const std::string& snapshot) override;

 private:
  wire::LedgerMark mark_;
};

}  // namespace yuccastair::rates

#endif  // YUCCASTAIR_RATES_LEDGER_RECORD_H_
