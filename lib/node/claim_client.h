// Lets a non-idempotent request with an Idempotency-Key run at most once.

#ifndef YUCCASTAIR_LIB_NODE_CLAIM_CLIENT_H_
#define YUCCASTAIR_LIB_NODE_CLAIM_CLIENT_H_

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

/// Claims requests before they run and records their outcome.
///
/// If another attempt still runs the request at the deadline, the reply is
/// `unknown` with status 409. `not_run` would permit the caller to send the
/// request under another key, although it may be running.
class ClaimClient {
 public:
  struct Claim {
    /// Set if the request must not run: the stored reply of the first attempt,
    /// a rejection, or `unknown`.
    std::optional<wire::CallReply> reply;
    /// The claim operation; held at the leader if `reply` is not set.
    wire::ClaimOperation operation;
  };

  explicit ClaimClient(LeaderChannel& leader_channel);
  /// Stops recording outcomes. Claims whose outcome was not recorded stay in
  /// progress, so a resend of such a request gets `unknown`.
  ~ClaimClient();

  ClaimClient(const ClaimClient&) = delete;
  ClaimClient& operator=(const ClaimClient&) = delete;

  /// Claims \p call under \p idempotency_key. If the claim is not obtained in
  /// time, it is released before the request is reported as not run.
  Claim Begin(const wire::CallRequest& call,
              const std::string& idempotency_key,
              support::TimePoint deadline);

  /// Records the outcome of a request for which Begin() returned no reply. The
  /// claim of a request that did not run is released before this returns,
  /// unless that takes longer than kReleaseTimeout. Everything else is recorded
  /// in the background.
  void Finish(const Claim& claim, const wire::CallReply& reply);

  static constexpr std::chrono::milliseconds kReleaseTimeout{250};

 private:
  using Operations = std::vector<wire::ClaimOperation>;

  /// Retries the operations until the leader replies or \p until has passed.
  std::optional<wire::ClaimReply> Perform(const Operations& operations,
                                          support::TimePoint until);
  std::optional<wire::ClaimResult> PerformOne(
      const wire::ClaimOperation& operation,
      support::TimePoint until);
  wire::CallReply AbandonClaim(const wire::ClaimOperation& claim);
  /// Releases a claim in the background; a claim request that arrives later
  /// has no effect.
  void ReleaseInBackground(const wire::ClaimOperation& claim);
  void RunRecorder();

  LeaderChannel& leader_channel_;
  const support::SteadyClock clock_{};
  support::BoundedRing<wire::ClaimOperation> pending_records_;
  std::thread recorder_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_CLAIM_CLIENT_H_
