// Converts effective settings to the options of the decision modules.

#include "settings_options.h"

#include <algorithm>
#include <chrono>

namespace yuccastair::node {
namespace {

std::uint32_t Count(const EffectiveSettings& settings,
                    state::SettingNumber number) {
  return static_cast<std::uint32_t>(settings.Get(number));
}

std::chrono::milliseconds Time(const EffectiveSettings& settings,
                               state::SettingNumber number) {
  return std::chrono::milliseconds(settings.Get(number));
}

double Share(const EffectiveSettings& settings, state::SettingNumber number) {
  return static_cast<double>(settings.Get(number)) /
         static_cast<double>(state::kShareUnit);
}

}  // namespace

admission::Options AdmissionOptions(const EffectiveSettings& settings) {
  admission::Options options;
  options.limit.min = Count(settings, state::kLimitMin);
  // Levels override single keys, so the bounds of different levels may cross.
  options.limit.max =
      std::max(options.limit.min, Count(settings, state::kLimitMax));
  options.limit.initial = std::clamp(Count(settings, state::kLimitInitial),
                                     options.limit.min, options.limit.max);
  options.queue.max = Count(settings, state::kQueueMax);
  options.queue.timeout = Time(settings, state::kQueueTimeoutMs);
  options.cold.initial_limit = Count(settings, state::kColdInitialLimit);
  options.cold.ramp = Time(settings, state::kColdRampMs);
  return options;
}

routing::Options RoutingOptions(const EffectiveSettings& settings) {
  routing::Options options;
  options.prefer_local_zone = settings.GetBoolean(state::kZonePrefer);
  options.max_ejected_share = Share(settings, state::kEjectMaxShare);
  options.retry_share = Share(settings, state::kRetryShare);
  return options;
}

}  // namespace yuccastair::node
