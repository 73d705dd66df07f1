// Fills the settings part of the reply to a node's sync.

#include "settings_sync.h"

#include <algorithm>

namespace yuccastair::control {

using std::chrono::milliseconds;

SettingsSync::SettingsSync(const state::SettingsMachine& settings,
                           const consensus::ReplicatedLog& log,
                           const support::Clock& clock,
                           observe::EventLog& events)
    : settings_(settings),
      log_(log),
      clock_(clock),
      events_(events),
      started_at_(clock.Now()) {}

milliseconds SettingsSync::StateAge() const {
  const support::TimePoint current_as_of = log_.CurrentAsOf();
  if (current_as_of < started_at_)
    return kUnknownAge;
  // Rounded up, so that the state is never reported as newer than it is.
  return std::clamp<milliseconds>(
      std::chrono::ceil<milliseconds>(clock_.Now() - current_as_of),
      milliseconds(0), kUnknownAge);
}

bool SettingsSync::IsVersionNeverCommitted(std::uint64_t node_version) {
  if (node_version <= settings_.version())
    return false;
  if (node_version > highest_ahead_version_) {
    highest_ahead_version_ = node_version;
    ahead_first_seen_at_ = clock_.Now();
  }
  // The version reached the node, and so was committed, before
  // ahead_first_seen_at_. A state that is current as of a later time would
  // contain it.
  if (log_.CurrentAsOf() <= ahead_first_seen_at_)
    return false;
  if (recorded_ahead_version_ != node_version) {
    recorded_ahead_version_ = node_version;
    events_.Record(
        "settings.node_ahead",
        "a node holds a settings version that this log never had; restart "
        "the node",
        {{"node_version", node_version}, {"version", settings_.version()}});
  }
  return true;
}

void SettingsSync::FillReply(const wire::SyncRequest& request,
                             wire::SyncReply& reply) {
  has_caught_up_ = has_caught_up_ || log_.CurrentAsOf() >= started_at_;
  reply.set_age_ms(static_cast<std::uint32_t>(StateAge().count()));
  reply.set_leader_address(log_.LeaderAddress());
  if (!has_caught_up_)
    return;
  if (IsVersionNeverCommitted(request.settings_version())) {
    reply.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::milliseconds(kUnknownAge).count()));
    return;
  }
  reply.set_settings_version(settings_.version());
  reply.set_settings(settings_.EncodeUpdate(request.settings_version()));
}

}  // namespace yuccastair::control
