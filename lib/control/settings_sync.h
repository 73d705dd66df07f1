// Distributes the settings and their age to nodes.

#ifndef YUCCASTAIR_LIB_CONTROL_SETTINGS_SYNC_H_
#define YUCCASTAIR_LIB_CONTROL_SETTINGS_SYNC_H_

#include <chrono>
#include <cstdint>

#include "sync.pb.h"
#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/observe/event_log.h"
#include "yuccastair/state/settings_machine.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::control {

/// Fills the settings part of a SyncReply. Used on the core thread.
class SettingsSync {
 public:
  /// Age that is reported while the age is not known.
  static constexpr std::chrono::hours kUnknownAge{24};

  SettingsSync(const state::SettingsMachine& settings,
               const consensus::ReplicatedLog& log,
               const support::Clock& clock,
               observe::EventLog& events);

  /// Sets the version, the settings, their age and the leader's address.
  ///
  /// A process that has not been current since its start may hold an older
  /// version than the committed one, even one from before its restart.
  /// Therefore it distributes no settings until it has caught up once.
  ///
  /// If the control processes were set up again with an empty log, a node may
  /// hold a version that this log never had and would keep its stale settings
  /// forever. Such a node receives kUnknownAge, so that it rejects keyed
  /// requests until it is restarted.
  void FillReply(const wire::SyncRequest& request, wire::SyncReply& reply);

  /// Returns an upper bound for the age of the applied state.
  std::chrono::milliseconds StateAge() const;

 private:
  /// Returns whether \p node_version was certainly never committed in this log.
  /// Records an event for each such version.
  bool IsVersionNeverCommitted(std::uint64_t node_version);

  const state::SettingsMachine& settings_;
  const consensus::ReplicatedLog& log_;
  const support::Clock& clock_;
  observe::EventLog& events_;
  const support::TimePoint started_at_;
  // Set once the state was current after started_at_.
  bool has_caught_up_ = false;
  // The highest version that a node held before this process did, and the time
  // when it was first seen.
  std::uint64_t highest_ahead_version_ = 0;
  support::TimePoint ahead_first_seen_at_;
  // The version last recorded as an event, so that further syncs add no event.
  std::uint64_t recorded_ahead_version_ = 0;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_SETTINGS_SYNC_H_
