// Tracks the state of the local target from its announcements.

#ifndef YUCCASTAIR_LIB_RELAY_TARGET_TRACKER_H_
#define YUCCASTAIR_LIB_RELAY_TARGET_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "call.pb.h"
#include "yuccastair/relay/adapter.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::relay {

/// Orders announcements, which may arrive late, twice, or after the process
/// that sent them has stopped.
class TargetTracker {
 public:
  /// A process of the target.
  struct Process {
    std::string target_id;
    /// 0 if unknown.
    std::uint64_t started_ms = 0;

    bool operator==(const Process&) const = default;
  };

  enum class AnnouncementEffect {
    /// The known process is unchanged: the announcement is stale, or belongs to
    /// a process that has stopped or that has not announced itself before.
    kIgnored,
    /// The known process has announced itself again.
    kUpdated,
    /// The target has restarted: a new process has announced itself.
    kRestarted,
  };

  /// \p drain_time is the time for which a draining target still accepts
  /// requests.
  TargetTracker(const support::Clock& clock,
                std::chrono::milliseconds drain_time)
      : clock_(clock), drain_time_(drain_time) {}

  /// \p age is the time since the target has made \p announcement.
  AnnouncementEffect Apply(const Announcement& announcement,
                           support::Duration age = {});

  /// A connection was refused: no process listens at the address. The target
  /// counts as down until its next announcement.
  void OnConnectionRefused() { connection_refused_ = true; }
  /// All connections failed at once, so the target may have restarted. It is
  /// assumed to be cold for some seconds.
  void OnSuspectedRestart();
  /// The target may have turned cold unnoticed. It is assumed to be cold for
  /// \p time, whatever it announces, since an announcement may have been sent
  /// before.
  void AssumeCold(std::chrono::milliseconds time);
  /// The target has stated its remaining cold time in reply to a check that was
  /// sent at \p asked_at, which ends an earlier assumption.
  void OnColdTimeChecked(std::chrono::milliseconds remaining,
                         support::TimePoint asked_at);
  /// Whether the target is only assumed to be cold.
  bool NeedsColdCheck() const { return clock_.Now() < cold_assumed_until_; }

  /// State to report to others. A draining target is reported as such at once.
  wire::TargetState State() const;
  /// Whether the target still accepts requests that arrive now.
  bool AcceptsRequests() const;

  /// Time until which the target is cold; in the past if it is not cold.
  support::TimePoint ColdUntil() const;

  /// Null until the first announcement.
  const Announcement* latest_announcement() const {
    return latest_announcement_ ? &*latest_announcement_ : nullptr;
  }
  /// Returns the last process that is draining or has deregistered; nothing if
  /// none is known.
  std::optional<Process> DepartingProcess() const;
  /// Identifies the process of the target; empty before the first announcement.
  const std::string& Incarnation() const { return incarnation_; }

 private:
  bool IsStale(const Announcement& announcement) const;
  /// Returns whether the sender of \p announcement, or a later process with the
  /// same id, has deregistered without having announced itself. Relates a
  /// deregistration without a start time to that sender.
  bool MatchDeregistration(const Announcement& announcement);
  void RememberDeregistration(const Announcement& announcement);
  /// \p from_known_process is whether the process of latest_announcement_ has
  /// sent \p announcement.
  AnnouncementEffect ApplyDeregistration(const Announcement& announcement,
                                         support::Duration age,
                                         bool from_known_process);

  const support::Clock& clock_;
  const std::chrono::milliseconds drain_time_;
  // The target id and start time remain after the target has deregistered.
  std::optional<Announcement> latest_announcement_;
  std::string incarnation_;
  support::TimePoint received_at_;
  support::TimePoint leaving_since_;
  bool connection_refused_ = false;
  support::TimePoint cold_assumed_at_;
  support::TimePoint cold_assumed_until_;
  // By the last check; in the past if the target was not cold.
  support::TimePoint checked_cold_until_;
  // Ids of earlier processes, latest last, for targets that report no start
  // time.
  std::deque<std::string> previous_target_ids_;
  // Processes that deregistered before they announced themselves to this relay,
  // latest last. Announcements that they sent before may be late.
  std::deque<Process> deregistered_processes_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_TARGET_TRACKER_H_
