// What a node believes about its own target, from the target's announcements.

#ifndef YUCCASTAIR_LIB_RELAY_TARGET_RECORD_H_
#define YUCCASTAIR_LIB_RELAY_TARGET_RECORD_H_

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
/// that sent them has ended.
class TargetRecord {
 public:
  enum class Change {
    /// The announcement is older than what is known, or of a target that has
    /// ended.
    kIgnored,
    /// The process that is known has announced itself again.
    kUpdated,
    /// Another process has taken its place.
    kRestarted,
  };

  /// \p drain_time is how long a draining target may still be sent requests.
  TargetRecord(const support::Clock& clock,
               std::chrono::milliseconds drain_time)
      : clock_(clock), drain_time_(drain_time) {}

  Change Apply(const Announcement& announcement);

  /// A connection was refused: no process listens at the address. Holds until
  /// the target announces itself again.
  void NoteRefused() { refused_ = true; }
  /// All connections broke at once, or another process answered: the target may
  /// have restarted, and is taken for cold until it announces itself again.
  void NoteMaybeRestarted() { maybe_restarted_ = true; }

  /// State to show to others. A draining target is shown as such at once.
  wire::TargetState State() const;
  /// Whether requests that arrive here now may still be sent to the target.
  bool AcceptsRequests() const;

  /// The target is cold until then; a time in the past if it is not.
  support::TimePoint ColdUntil() const;

  /// Null until the first announcement.
  const Announcement* announced() const {
    return latest_ ? &*latest_ : nullptr;
  }
  /// Distinguishes the processes of the target; empty before the first
  /// announcement.
  const std::string& Incarnation() const { return incarnation_; }

 private:
  bool IsOfPast(const Announcement& announcement) const;

  const support::Clock& clock_;
  const std::chrono::milliseconds drain_time_;
  // The latest announcement; its id and start stay when the target is gone.
  std::optional<Announcement> latest_;
  std::string incarnation_;
  support::TimePoint received_at_;
  support::TimePoint leaving_since_;
  bool refused_ = false;
  bool maybe_restarted_ = false;
  // Ids of earlier processes, latest last, for targets that state no start.
  std::deque<std::string> past_ids_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_LIB_RELAY_TARGET_RECORD_H_
