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

milliseconds SettingsSync::Age() const {
  const support::TimePoint current = log_.CurrentAsOf();
  if (current < started_at_)
    return kUnknownAge;
  // Rounded up, so that the state is never reported as newer than it is.
  return std::clamp<milliseconds>(
      std::chrono::ceil<milliseconds>(clock_.Now() - current), milliseconds(0),
      kUnknownAge);
}

bool SettingsSync::ContradictsLog(std::uint64_t node_version) {
  if (node_version <= settings_.version())
    return false;
  if (node_version > ahead_version_) {
    ahead_version_ = node_version;
    ahead_since_ = clock_.Now();
  }
  // The version reached the node, and so was committed, before ahead_since_. A
  // state that is current as of a later time would contain it.
  if (log_.CurrentAsOf() <= ahead_since_)
    return false;
  if (reported_ahead_version_ != node_version) {
    reported_ahead_version_ = node_version;
    events_.Record(
        "settings.node_ahead",
        "a node holds a settings version that this log never had; restart "
        "the node",
        {{"node_version", node_version}, {"version", settings_.version()}});
  }
  return true;
}

void SettingsSync::Fill(const wire::SyncRequest& request,
                        wire::SyncReply& reply) {
  caught_up_ = caught_up_ || log_.CurrentAsOf() >= started_at_;
  reply.set_age_ms(static_cast<std::uint32_t>(Age().count()));
  reply.set_leader_address(log_.LeaderAddress());
  if (!caught_up_)
    return;
  if (ContradictsLog(request.settings_version())) {
    reply.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::milliseconds(kUnknownAge).count()));
    return;
  }
  reply.set_settings_version(settings_.version());
  reply.set_settings(settings_.EncodeUpdate(request.settings_version()));
}

}  // namespace yuccastair::control
