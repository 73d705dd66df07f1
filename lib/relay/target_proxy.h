// Admits calls to the local target and exchanges them with it.

#ifndef YUCCASTAIR_LIB_RELAY_TARGET_PROXY_H_
#define YUCCASTAIR_LIB_RELAY_TARGET_PROXY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "call.h"
#include "crash_monitor.h"
#include "policy.pb.h"
#include "running_requests.h"
#include "target_retry_budget.h"
#include "target_tracker.h"
#include "yuccastair/admission/admission.h"
#include "yuccastair/admission/call_throttle.h"
#include "yuccastair/membership/zone_orders.h"
#include "yuccastair/observe/metrics.h"
#include "yuccastair/relay/adapter.h"
#include "yuccastair/stream/client.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Runs calls on the local target. All of a target's load passes through its
/// proxy, so the proxy enforces the target's limits exactly. Used on the thread
/// of its io_context.
class TargetProxy {
 public:
  TargetProxy(stream::asio::io_context& context,
              const support::Clock& clock,
              const HeaderNames& names,
              std::chrono::milliseconds drain_time,
              observe::Metrics& metrics);

  /// Runs a call once it is admitted. The result is the target's response,
  /// complete or with its body still arriving, or a rejection, or an unknown
  /// outcome.
  stream::Task<CallResult> Run(RelayCall& call);

  /// Handles an announcement that the local target has made \p age ago.
  void OnAnnouncement(const Announcement& announcement,
                      support::Duration age = {});

  /// Sets the policy of the local target's service; null if the policy does not
  /// contain the service.
  void SetServicePolicy(const wire::PolicyService* service);
  void SetZoneUse(membership::ZoneUse use);

  /// Rejects calls whose queue time has expired; called every few ms.
  void Tick();

  /// Closes connections that have exceeded their idle time.
  void CloseIdle() { pool_.CloseIdle(); }

  const TargetTracker& tracker() const { return tracker_; }
  /// State to report to others.
  wire::TargetState State() const;
  CrashMonitor& crash_monitor() { return crash_monitor_; }
  wire::LoadReport Load() const;
  const RunningRequests& running_requests() const { return running_requests_; }

  /// Calls that the target has rejected, stating that it did not run them.
  struct Rejections {
    /// It had free slots, so fewer calls would not have helped.
    std::uint64_t with_free_slots = 0;
    std::uint64_t others = 0;
  };
  /// Returns the rejections since the last call.
  Rejections TakeRejections() { return std::exchange(rejections_, {}); }
  std::size_t pending_calls() const {
    return pending_admissions_.size() + admission_.running();
  }

  /// Sets the function that returns whether a service has a target.
  void SetTargetLookup(std::function<bool(const std::string& service)> lookup) {
    throttle_.has_target = std::move(lookup);
  }
  admission::CallThrottle& call_throttle() { return throttle_; }

  /// Called when the target's state changes and should be reported at once.
  std::function<void()> on_state_changed;

 private:
  static constexpr std::chrono::milliseconds kConnectTimeout{600};
  // Time for which a connection is kept if the target states none.
  static constexpr std::chrono::milliseconds kDefaultMaxIdleTime{6000};
  // Retry time if no better value is known.
  static constexpr std::chrono::milliseconds kDefaultRetryAfter{200};

  struct PendingAdmission {
    explicit PendingAdmission(stream::asio::io_context& context)
        : decision_timer(context, support::TimePoint::max()) {}

    // Cancelled when the decision is available.
    stream::asio::steady_timer decision_timer;
    std::optional<admission::Decision> decision;
  };

  admission::Options AdmissionOptions() const;
  /// Whether calls may still be sent to the target.
  bool AcceptsCalls() const {
    return tracker_.AcceptsRequests() && zone_use_ != membership::ZoneUse::kOut;
  }
  void ApplyState();
  void DeliverDecisions(const admission::Admission::Decisions& decisions);
  stream::Task<admission::Decision> AwaitAdmission(RelayCall& call,
                                                   std::uint64_t id);
  stream::Task<CallResult> RunAdmitted(RelayCall& call, std::uint64_t id);
  bool ChargeRetryBudget(const RelayCall& call);
  stream::Task<CallResult> ExchangeWithTarget(RelayCall& call,
                                              admission::ExchangeOutcome& end);
  CallResult ClassifyResponse(stream::ClientConnection& connection,
                              admission::ExchangeOutcome& end);
  bool HasFreeSlots() const;
  void RecordRejection(bool had_free_slots);
  stream::ConnectionPool::KeptState OtherConnectionStates();
  void OnExchangeFailed();
  void StartColdCheck();
  stream::Task<void> CheckColdTime();
  stream::Task<bool> AskColdTime();
  void OnConnectionRefused();
  void OnRunBroken(const RelayCall& call, const std::string& process);
  stream::Task<void> WatchProcess(std::string process,
                                  support::Address address);
  void RecordAdmittedShare(const std::string& route);
  void FinishCall(std::uint64_t id, admission::ExchangeOutcome end);
  stream::http::header<true> MakeTargetHead(const RelayCall& call) const;
  std::string ThrottleReason(const std::string& route) const;
  CallResult ThrottledResult(const RelayCall& call) const;
  CallResult RejectedResult(const RelayCall& call,
                            const admission::Decision& decision) const;

  stream::asio::io_context& context_;
  const support::Clock& clock_;
  const HeaderNames& names_;
  observe::Metrics& metrics_;
  TargetTracker tracker_;
  admission::Admission admission_;
  admission::CallThrottle throttle_;
  stream::ConnectionPool pool_;
  // Connections that wait for a response.
  std::vector<std::shared_ptr<stream::ClientConnection>> open_exchanges_;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingAdmission>>
      pending_admissions_;
  std::uint64_t next_id_ = 1;
  RunningRequests running_requests_;
  TargetRetryBudget retry_budget_;
  Rejections rejections_;
  // Routes that are throttled, and since when.
  std::unordered_map<std::string, support::TimePoint> throttled_since_;
  // Routes whose throttling is suspended because it has not helped.
  std::unordered_set<std::string> suspended_routes_;
  std::uint32_t consecutive_failures_ = 0;
  CrashMonitor crash_monitor_;
  // The process that WatchProcess() observes; empty if none.
  std::string watched_process_;
  double cold_per_second_ = 0;
  std::chrono::milliseconds cold_duration_{0};
  std::string health_path_;
  membership::ZoneUse zone_use_ = membership::ZoneUse::kInService;
  bool checking_cold_time_ = false;
  wire::TargetState reported_state_ = wire::TARGET_STATE_DOWN;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_TARGET_PROXY_H_
