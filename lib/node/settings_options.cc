// Converts effective settings to the options of admission and routing.

#include "settings_options.h"

#include <algorithm>
#include <chrono>

namespace yuccastair::node {
namespace {

std::uint32_t GetCount(const EffectiveSettings& settings,
                       state::SettingNumber number) {
  return static_cast<std::uint32_t>(settings.Get(number));
}

std::chrono::milliseconds GetDuration(const EffectiveSettings& settings,
                                      state::SettingNumber number) {
  return std::chrono::milliseconds(settings.Get(number));
}

double GetRatio(const EffectiveSettings& settings,
                state::SettingNumber number) {
  return static_cast<double>(settings.Get(number)) /
         static_cast<double>(state::kShareUnit);
}

}  // namespace

admission::Options MakeAdmissionOptions(const EffectiveSettings& settings) {
  admission::Options options;
  options.limit.min = GetCount(settings, state::kLimitMin);
  // Each level overrides single keys, so a minimum of one level may exceed the
  // maximum of another.
  options.limit.max =
      std::max(options.limit.min, GetCount(settings, state::kLimitMax));
  options.limit.initial = std::clamp(GetCount(settings, state::kLimitInitial),
                                     options.limit.min, options.limit.max);
  options.queue.max = GetCount(settings, state::kQueueMax);
  options.queue.timeout = GetDuration(settings, state::kQueueTimeoutMs);
  options.cold.initial_limit = GetCount(settings, state::kColdInitialLimit);
  options.cold.ramp = GetDuration(settings, state::kColdRampMs);
  return options;
}

routing::Options MakeRoutingOptions(const EffectiveSettings& settings) {
  routing::Options options;
  options.prefer_local_zone = settings.GetBoolean(state::kZonePrefer);
  options.max_ejected_share = GetRatio(settings, state::kEjectMaxShare);
  options.retry_share = GetRatio(settings, state::kRetryShare);
  return options;
}

}  // namespace yuccastair::node
