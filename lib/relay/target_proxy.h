// The one way to the own target: admission, the exchange and its outcome.

#ifndef YUCCASTAIR_LIB_RELAY_TARGET_PROXY_H_
#define YUCCASTAIR_LIB_RELAY_TARGET_PROXY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "call.h"
#include "policy.pb.h"
#include "repeat_budget.h"
#include "running_requests.h"
#include "target_record.h"
#include "yuccastair/admission/admission.h"
#include "yuccastair/admission/call_throttle.h"
#include "yuccastair/observe/metrics.h"
#include "yuccastair/relay/adapter.h"
#include "yuccastair/stream/client.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Runs calls on the own target. All load of a target passes its proxy, which
/// therefore holds the limits of the target exactly. Used on the thread of its
/// io_context.
class TargetProxy {
 public:
  TargetProxy(stream::asio::io_context& context,
              const support::Clock& clock,
              const HeaderNames& names,
              std::chrono::milliseconds drain_time,
              observe::Metrics& metrics);

  /// Runs a call when its turn comes. The result is a target's whole or
  /// beginning answer, a refusal, or an unknown outcome.
  stream::Task<CallResult> Run(RelayCall& call);

  /// Takes an announcement of the own target.
  void Announce(const Announcement& announcement);

  /// Takes what the policy says of the own target's service; null if the
  /// service is not in the policy.
  void SetService(const wire::PolicyService* service);
  void SetZoneOut(bool zone_out);

  /// Rejects what has waited too long; called every few ms.
  void Tick();

  /// Closes connections that have been idle for too long.
  void CloseIdle() { pool_.CloseIdle(); }

  const TargetRecord& record() const { return record_; }
  wire::LoadReport Load() const;
  const RunningRequests& running_requests() const { return requests_; }
  std::size_t held() const { return waiting_.size() + admission_.running(); }

  /// Sets how requests learn whether a service that they need has a target.
  void SetTargetLookup(std::function<bool(const std::string& service)> lookup) {
    throttle_.has_target = std::move(lookup);
  }

  /// Called when others should learn of a new state at once.
  std::function<void()> on_state_changed;

 private:
  struct Waiting {
    explicit Waiting(stream::asio::io_context& context)
        : decided(context, support::TimePoint::max()) {}

    // Cancelled when the decision has come.
    stream::asio::steady_timer decided;
    std::optional<admission::Decision> decision;
  };

  admission::Options AdmissionOptions() const;
  void ApplyState();
  void Carry(const admission::Admission::Decisions& decisions);
  stream::Task<admission::Decision> Admit(RelayCall& call, std::uint64_t id);
  stream::Task<CallResult> RunAdmitted(RelayCall& call, std::uint64_t id);
  bool CountArrival(const RelayCall& call);
  stream::Task<CallResult> Exchange(RelayCall& call,
                                    admission::ExchangeOutcome& end);
  CallResult Judge(stream::ClientConnection& connection,
                   admission::ExchangeOutcome& end) const;
  stream::ConnectionPool::KeptState OtherConnections();
  void NoteBroken();
  void NoteShare(const std::string& route);
  void Finish(std::uint64_t id, admission::ExchangeOutcome end);
  stream::http::header<true> HeadFor(const RelayCall& call) const;
  CallResult HeldBack(const RelayCall& call) const;
  CallResult Refusal(const RelayCall& call,
                     const admission::Decision& decision) const;

  stream::asio::io_context& context_;
  const support::Clock& clock_;
  const HeaderNames& names_;
  observe::Metrics& metrics_;
  TargetRecord record_;
  admission::Admission admission_;
  admission::CallThrottle throttle_;
  stream::ConnectionPool pool_;
  // Connections on which an answer is awaited.
  std::vector<std::shared_ptr<stream::ClientConnection>> exchanges_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiting>> waiting_;
  std::uint64_t next_id_ = 1;
  RunningRequests requests_;
  RepeatBudget repeats_;
  // Routes of which less than the whole share was admitted, and since when.
  std::unordered_map<std::string, support::TimePoint> held_back_since_;
  std::uint32_t broken_in_a_row_ = 0;
  double cold_per_second_ = 0;
  std::chrono::milliseconds cold_time_{0};
  bool zone_out_ = false;
  // Set when the zone returns to service, until the target has announced
  // itself: it may have turned cold meanwhile.
  support::TimePoint returned_cold_until_;
  wire::TargetState shown_state_ = wire::TARGET_STATE_DOWN;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_TARGET_PROXY_H_
