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

/// Stamps commands with a time that never decreases: that of the latest command
/// plus the time passed since this process became leader.
class LogicalTime {
 public:
  explicit LogicalTime(const support::Clock& clock) : clock_(clock) {}

  /// Returns the time for a command; \p latest_ms is that of the table.
  std::uint64_t Stamp(std::uint64_t latest_ms);

  /// Forgets the time that passed; called where the leadership has ended.
  void Reset() { running_ = false; }

 private:
  const support::Clock& clock_;
  bool running_ = false;
  std::uint64_t base_ms_ = 0;
  support::TimePoint base_at_;
};

/// Answers claim requests after the commit. Used on the core thread.
///
/// One command is under way at a time. What comes meanwhile goes into the next
/// one, so a command is proposed at once when there is little to do and holds
/// about kMaxBatch operations under load.
class ClaimService {
 public:
  using Answer = std::function<void(const wire::ClaimReply&)>;

  static constexpr std::size_t kMaxBatch = 512;
  static constexpr std::size_t kMaxWaiting = 16384;
  static constexpr int kMaxOperations = 64;

  ClaimService(consensus::ReplicatedLog& log,
               const claims::ClaimTable& table,
               const support::Clock& clock);

  /// Answers now or after the commit. An answer without results says that this
  /// process is not the leader, is overloaded or does not know whether the
  /// operations were committed; the sender repeats them.
  void Handle(const wire::ClaimRequest& request, const Answer& answer);

  /// Follows the leadership; called at every tick.
  void Tick();

 private:
  struct Waiting {
    wire::ClaimRequest request;
    Answer answer;
  };

  void ProposeNext();
  void AnswerAll(const std::vector<Waiting>& batch,
                 const consensus::ProposeOutcome& done) const;
  wire::ClaimReply NotLeader() const;

  consensus::ReplicatedLog& log_;
  const claims::ClaimTable& table_;
  LogicalTime time_;
  std::deque<Waiting> waiting_;
  bool under_way_ = false;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_CLAIM_SERVICE_H_
