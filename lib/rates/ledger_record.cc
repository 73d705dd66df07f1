// Applies rate ledger marks.

#include "yuccastair/rates/ledger_record.h"

#include "yuccastair/support/error.h"

namespace yuccastair::rates {

std::optional<std::uint32_t> CountUnexpiredLedgers(
    const wire::LedgerMark& mark) {
  if (mark.epoch() == 0)
    return 0;
  if (mark.settled())
    return 1;
  if (mark.ledgers() == 0)
    return std::nullopt;
  return mark.ledgers();
}

std::string LedgerRecord::Apply(std::uint64_t /*index*/,
                                const std::string& command) {
  std::string before = mark_.SerializeAsString();
  wire::LedgerMark mark;
  if (!mark.ParseFromString(command) || mark.epoch() == 0)
    return before;
  if (!mark.settled()) {
    const auto earlier = CountUnexpiredLedgers(mark_);
    mark.set_ledgers(earlier ? *earlier + 1 : 0);
    mark_ = mark;
  } else if (mark.epoch() == mark_.epoch()) {
    mark_ = mark;
  }
  return before;
}

std::string LedgerRecord::TakeSnapshot() const {
  return mark_.SerializeAsString();
}

void LedgerRecord::RestoreSnapshot(const std::string& snapshot) {
  wire::LedgerMark mark;
  if (!mark.ParseFromString(snapshot))
    throw support::Error("restore snapshot", "",
                         "the mark of the rate ledger cannot be decoded");
  mark_ = mark;
}

}  // namespace yuccastair::rates
