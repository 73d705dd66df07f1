// Lets a non-idempotent request with an Idempotency-Key run at most once.

#ifndef YUCCASTAIR_LIB_NODE_CLAIM_GATE_H_
#define YUCCASTAIR_LIB_NODE_CLAIM_GATE_H_

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "envelope.pb.h"
#include "leader_channel.h"
#include "yuccastair/support/bounded_ring.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// Claims requests before they run and records how they ended.
///
/// A request that another attempt is running is answered with `unknown` and 409
/// after its deadline: `not_run` would tell the caller that it may send the
/// request under another key, although it may be running.
class ClaimGate {
 public:
  struct Claim {
    /// Set where the request must not run: the first answer, a refusal, or
    /// `unknown`.
    std::optional<wire::CallReply> reply;
    /// The claim that is held.
    wire::ClaimOperation operation;
  };

  explicit ClaimGate(LeaderChannel& leader);
  /// Ends the recording of claims; what is left stays in progress, so that a
  /// resend is told `unknown`.
  ~ClaimGate();

  ClaimGate(const ClaimGate&) = delete;
  ClaimGate& operator=(const ClaimGate&) = delete;

  /// Claims \p call under \p idempotency_key. Where no claim is obtained in
  /// time, the attempt is released before the request is called not run.
  Claim Begin(const wire::CallRequest& call,
              const std::string& idempotency_key,
              support::TimePoint deadline);

  /// Records the end of a request for which Begin() gave no reply. A request
  /// that did not run is released before this returns, where that takes no
  /// longer than kReleaseWait; all else happens in the background.
  void Finish(const Claim& claim, const wire::CallReply& reply);

  static constexpr std::chrono::milliseconds kReleaseWait{250};

 private:
  using Operations = std::vector<wire::ClaimOperation>;

  /// Repeats the operations until they are answered or \p until has come.
  std::optional<wire::ClaimReply> Perform(const Operations& operations,
                                          support::TimePoint until);
  std::optional<wire::ClaimResult> PerformOne(
      const wire::ClaimOperation& operation,
      support::TimePoint until);
  wire::CallReply GiveUp(const wire::ClaimOperation& claim);
  /// Makes a late claim void in the background.
  void ReleaseLater(const wire::ClaimOperation& claim);
  void Record();

  LeaderChannel& leader_;
  const support::SteadyClock clock_{};
  support::BoundedRing<wire::ClaimOperation> records_;
  std::thread recorder_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_CLAIM_GATE_H_
