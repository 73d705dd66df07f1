// Has the departures of the local target recorded in the replicated log.

#ifndef YUCCASTAIR_LIB_RELAY_DEPARTURE_RECORDER_H_
#define YUCCASTAIR_LIB_RELAY_DEPARTURE_RECORDER_H_

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "sync.pb.h"
#include "target_tracker.h"
#include "yuccastair/stream/types.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Tells when a departure may be acknowledged. What only this process knows is
/// lost with it, and a late announcement would then bring the target back. Used
/// on the thread of its io_context.
class DepartureRecorder {
 public:
  /// Targets turn to another relay after a second without an answer.
  static constexpr std::chrono::milliseconds kMaxWait{800};
  /// A departure that cannot be recorded for this long is acknowledged all the
  /// same, since the target must not wait for control processes that are out of
  /// reach. The acknowledgement then holds as long as this process runs, or
  /// until a control process is in reach again.
  static constexpr std::chrono::milliseconds kMaxUnrecordedTime{3000};

  /// \p send sends a report to the leader; it may be lost.
  DepartureRecorder(stream::asio::io_context& context,
                    const support::Clock& clock,
                    std::string node_id,
                    std::function<void(const wire::DepartureReport&)> send);

  /// Waits until the departure of \p process is recorded, at most kMaxWait.
  /// Returns whether it may be acknowledged.
  stream::Task<bool> Record(TargetTracker::Process process);

  /// Handles the reply to the latest report.
  void OnReply(const wire::DepartureReply& reply);

  /// Sends the report that is due; called every few ms.
  void Tick();

 private:
  struct Departure {
    TargetTracker::Process process;
    support::TimePoint since;
    bool recorded = false;
    // Cancelled when the departure is recorded.
    std::list<std::shared_ptr<stream::asio::steady_timer>> waiting;
  };

  /// Returns the departure of \p process, which is added if it is new.
  std::shared_ptr<Departure> Find(const TargetTracker::Process& process);
  bool MayAcknowledge(const Departure& departure) const;

  stream::asio::io_context& context_;
  const support::Clock& clock_;
  const std::string node_id_;
  const std::function<void(const wire::DepartureReport&)> send_;
  // Oldest first; one after the other is reported until it is recorded.
  // Bounded.
  std::list<std::shared_ptr<Departure>> departures_;
  // The departure of the latest report; null if it has been answered.
  std::shared_ptr<Departure> reported_;
  support::TimePoint reported_at_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_DEPARTURE_RECORDER_H_
