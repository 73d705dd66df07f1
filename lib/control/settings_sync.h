// Tells nodes the settings and how certain it is that they are current.

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
  /// Age that is reported before the state was current for the first time.
  static constexpr std::chrono::hours kUnknownAge{24};

  SettingsSync(const state::SettingsMachine& settings,
               const consensus::ReplicatedLog& log,
               const support::Clock& clock,
               observe::EventLog& events);

  /// Fills version, settings, age and leader.
  ///
  /// A process that has not been current since its start may hold an older
  /// version than the committed one, even one from before its restart, so it
  /// hands out none until it has caught up once. A node that holds a version
  /// that this log never had, because the control processes were set up anew,
  /// would keep its old settings for good; it is told an unknown age, so that
  /// it refuses keyed requests until it is restarted.
  void Fill(const wire::SyncRequest& request, wire::SyncReply& reply);

  /// Returns how old the applied state may be.
  std::chrono::milliseconds Age() const;

 private:
  /// Returns whether a node holds a version that was certainly never committed
  /// in this log.
  bool ContradictsLog(std::uint64_t node_version);

  const state::SettingsMachine& settings_;
  const consensus::ReplicatedLog& log_;
  const support::Clock& clock_;
  observe::EventLog& events_;
  const support::TimePoint started_at_;
  // Set once the state was current after started_at_.
  bool caught_up_ = false;
  // The highest version that a node held before this process had it, and when
  // that was first seen.
  std::uint64_t ahead_version_ = 0;
  support::TimePoint ahead_since_;
  // The version last reported as an event, so that repeated syncs add none.
  std::uint64_t reported_ahead_version_ = 0;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_SETTINGS_SYNC_H_
