// Keeps the rate ledger while this control process is the leader.

#ifndef YUCCASTAIR_LIB_CONTROL_RATE_SERVICE_H_
#define YUCCASTAIR_LIB_CONTROL_RATE_SERVICE_H_

#include <cstdint>
#include <optional>

#include "rates.pb.h"
#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/rates/rate_ledger.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Answers rate requests at the leader. Used on the core thread.
///
/// The ledger starts with the leadership, once its mark is committed, and ends
/// with it: a process that becomes leader again starts a new one.
class RateService {
 public:
  RateService(consensus::ReplicatedLog& log,
              const support::Clock& clock,
              rates::LimitLookup limits);

  /// Follows leadership and ends leases; called at every tick.
  void Tick();

  wire::RateGrant Handle(const wire::RateRequest& request);

 private:
  /// Commits a mark and starts the ledger; an answer that comes after the
  /// leadership has ended starts nothing.
  void StartLedger();
  void MarkSettled();

  consensus::ReplicatedLog& log_;
  const support::Clock& clock_;
  const rates::LimitLookup limits_;
  std::optional<rates::RateLedger> ledger_;
  bool starting_ = false;
  bool marked_settled_ = false;
  // Grows each time the leadership ends.
  std::uint64_t leadership_ = 0;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_RATE_SERVICE_H_
