// Serves rate requests while this control process is the leader.

#ifndef YUCCASTAIR_LIB_CONTROL_RATE_SERVICE_H_
#define YUCCASTAIR_LIB_CONTROL_RATE_SERVICE_H_

#include <cstdint>
#include <optional>

#include "rates.pb.h"
#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/rates/rate_ledger.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Handles rate requests at the leader. Used on the core thread.
///
/// The ledger starts once its mark is committed under this leadership, and ends
/// with the leadership. A process that becomes leader again starts a new
/// ledger.
class RateService {
 public:
  RateService(consensus::ReplicatedLog& log,
              const support::Clock& clock,
              rates::LimitLookup limit_lookup);

  /// Tracks the leadership and expires leases; called at every tick.
  void Tick();

  wire::RateGrant Handle(const wire::RateRequest& request);

 private:
  /// Commits a mark and starts the ledger. A commit that completes after the
  /// leadership has ended starts no ledger.
  void StartLedger();
  void MarkSettled();

  consensus::ReplicatedLog& log_;
  const support::Clock& clock_;
  const rates::LimitLookup limit_lookup_;
  std::optional<rates::RateLedger> ledger_;
  bool ledger_start_pending_ = false;
  bool marked_settled_ = false;
  // Incremented each time the leadership ends.
  std::uint64_t leadership_generation_ = 0;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_RATE_SERVICE_H_
