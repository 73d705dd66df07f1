// Answers crash reports and requests for permits at the leader.

#ifndef YUCCASTAIR_LIB_CONTROL_CRASH_SERVICE_H_
#define YUCCASTAIR_LIB_CONTROL_CRASH_SERVICE_H_

#include <functional>

#include "claim_service.h"
#include "claims.pb.h"
#include "yuccastair/claims/fingerprint_table.h"
#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Commits each operation by itself, because crashes are rare. Used on the core
/// thread.
class CrashService {
 public:
  using Answer = std::function<void(const wire::CrashReportReply&)>;

  CrashService(consensus::ReplicatedLog& log,
               const claims::FingerprintTable& table,
               const support::Clock& clock);

  /// Answers after the commit. An answer without a status says that the
  /// operation may not have been committed.
  void Handle(const wire::CrashReport& request, const Answer& answer);

  /// Follows the leadership and drops what has expired.
  void Tick();

 private:
  void Propose(const wire::CrashCommand& command,
               const consensus::ReplicatedLog::ProposeCallback& done);

  consensus::ReplicatedLog& log_;
  const claims::FingerprintTable& table_;
  LogicalTime time_;
  bool expiring_ = false;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_CRASH_SERVICE_H_
