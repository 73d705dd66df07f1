// Handles crash reports and requests for permits at the leader.

#ifndef YUCCASTAIR_LIB_CONTROL_CRASH_SERVICE_H_
#define YUCCASTAIR_LIB_CONTROL_CRASH_SERVICE_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "claim_service.h"
#include "claims.pb.h"
#include "yuccastair/claims/fingerprint_table.h"
#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Commits the operations of each report in a command of their own, because
/// crashes are rare.
/// Used on the core thread.
class CrashService {
 public:
  using ReplyCallback = std::function<void(const wire::CrashReportReply&)>;

  CrashService(consensus::ReplicatedLog& log,
               const claims::FingerprintTable& table,
               const support::Clock& clock);

  /// Calls \p send_reply after the commit, or at once if this process is not
  /// the leader. A reply without statuses means that the operations may not
  /// have been committed.
  void Handle(const wire::CrashReport& request,
              const ReplyCallback& send_reply);

  /// Lets a request through again, as an answered run does.
  void Clear(const std::string& fingerprint,
             const consensus::ReplicatedLog::ProposeCallback& done);

  /// Returns the requests that have ended targets, the latest last.
  nlohmann::json ListSuspects() const;

  /// Tracks the leadership and proposes the removal of expired entries.
  void Tick();

 private:
  void Propose(const wire::CrashCommand& command,
               const consensus::ReplicatedLog::ProposeCallback& done);

  consensus::ReplicatedLog& log_;
  const claims::FingerprintTable& table_;
  CommandClock command_clock_;
  bool expiry_in_flight_ = false;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_CRASH_SERVICE_H_
