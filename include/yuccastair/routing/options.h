// Options of routing, taken from the settings tree at run time.

#ifndef YUCCASTAIR_ROUTING_OPTIONS_H_
#define YUCCASTAIR_ROUTING_OPTIONS_H_

#include <chrono>
#include <cstdint>

namespace yuccastair::routing {

struct Options {
  /// Prefers targets of the own availability zone (`zone.prefer`).
  bool prefer_own_zone = true;
  /// The own zone has room while its chosen target is used less than this.
  double own_zone_room = 0.8;

  /// Share of a service's targets that may be ejected (`eject.max_share`).
  double max_ejected_share = 0.34;
  /// Failures in a row after which a target is ejected.
  std::uint32_t failures_to_eject = 5;
  std::chrono::milliseconds first_ejection{1000};
  std::chrono::milliseconds max_ejection{30000};
  /// Successful probes that bring an ejected target back.
  std::uint32_t probes_to_return = 2;

  /// Half-life of a load report.
  std::chrono::milliseconds report_half_life{500};

  /// Retries allowed for each first attempt of a service (`retry.share`).
  double retry_share = 0.2;
  /// Retries that a service may make in one go.
  double retry_burst = 20;
};

}  // namespace yuccastair::routing

#endif  // YUCCASTAIR_ROUTING_OPTIONS_H_
