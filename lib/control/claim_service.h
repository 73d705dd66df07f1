// Batches claim operations into commands of the replicated log.

#ifndef YUCCASTAIR_LIB_CONTROL_CLAIM_SERVICE_H_
#define YUCCASTAIR_LIB_CONTROL_CLAIM_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "claims.pb.h"
#include "yuccastair/claims/claim_table.h"
#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Assigns timestamps to commands that never decrease, also after a change of
/// leader: the time of the latest command when this process became leader, plus
/// the time since then.
class CommandClock {
 public:
  explicit CommandClock(const support::Clock& clock) : clock_(clock) {}

  /// Returns the time of a new command in ms; \p latest_ms is the time of the
  /// latest command that the table has applied.
  std::uint64_t NextTimestampMs(std::uint64_t latest_ms);

  /// Discards the base time. Called when the leadership has ended.
  void Reset() { has_base_ = false; }

 private:
  const support::Clock& clock_;
  bool has_base_ = false;
  std::uint64_t base_ms_ = 0;
  support::TimePoint base_at_;
};

/// Replies to claim requests after the commit. Used on the core thread.
///
/// One command is in flight at a time, and the requests that arrive meanwhile
/// are batched into the next one. A command is therefore proposed at once under
/// low load and holds about kFullCommandOperations operations under high load.
class ClaimService {
 public:
  using ReplyCallback = std::function<void(const wire::ClaimReply&)>;

  /// A command takes further requests while it holds fewer operations.
  static constexpr std::size_t kFullCommandOperations = 512;
  static constexpr std::size_t kMaxPendingRequests = 16384;
  static constexpr int kMaxOperationsPerRequest = 64;

  ClaimService(consensus::ReplicatedLog& log,
               const claims::ClaimTable& table,
               const support::Clock& clock);

  /// Calls \p send_reply at once or after the commit. A reply without results
  /// means that this process is not the leader, is overloaded or does not know
  /// whether the operations were committed; the sender retries them.
  void Handle(const wire::ClaimRequest& request,
              const ReplyCallback& send_reply);

  /// Tracks the leadership and proposes pending requests; called at every tick.
  void Tick();

 private:
  struct PendingRequest {
    wire::ClaimRequest request;
    ReplyCallback send_reply;
  };

  void ProposeNext();
  void ReplyToBatch(const std::vector<PendingRequest>& batch,
                    const consensus::ProposeOutcome& outcome) const;
  wire::ClaimReply MakeNotLeaderReply() const;

  consensus::ReplicatedLog& log_;
  const claims::ClaimTable& table_;
  CommandClock command_clock_;
  std::deque<PendingRequest> pending_;
  bool proposal_in_flight_ = false;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_CLAIM_SERVICE_H_
