// Options of routing, read from the settings tree at run time.

#ifndef YUCCASTAIR_ROUTING_OPTIONS_H_
#define YUCCASTAIR_ROUTING_OPTIONS_H_

#include <chrono>
#include <cstdint>

namespace yuccastair::routing {

struct Options {
  /// Prefers targets in the local availability zone (`zone.prefer`).
  bool prefer_local_zone = true;
  /// The local zone has capacity while the utilisation of its chosen target is
  /// at most this.
  double local_zone_max_utilisation = 0.8;
  /// A retiring target is used while the utilisation of the target chosen
  /// otherwise is above this. Calls queue above 1.
  double retiring_min_utilisation = 1;

  /// Share of a service's targets that may be ejected (`eject.max_share`).
  double max_ejected_share = 0.34;
  /// Consecutive failures after which a target is ejected.
  std::uint32_t consecutive_failures_to_eject = 5;
  std::chrono::milliseconds initial_ejection_time{1000};
  std::chrono::milliseconds max_ejection_time{30000};
  /// Successful half-open probes that end an ejection.
  std::uint32_t successful_probes_to_reinstate = 2;

  /// Half-life of a load report.
  std::chrono::milliseconds report_half_life{500};

  /// Retries allowed per first attempt to a service (`retry.share`).
  double retry_share = 0.2;
  /// Maximum number of retries to a service in one burst.
  double retry_burst = 20;
};

}  // namespace yuccastair::routing

#endif  // YUCCASTAIR_ROUTING_OPTIONS_H_
