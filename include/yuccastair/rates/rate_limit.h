// The rate of an organisation and the constants that leader and nodes share.

#ifndef YUCCASTAIR_RATES_RATE_LIMIT_H_
#define YUCCASTAIR_RATES_RATE_LIMIT_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace yuccastair::rates {

/// How much an organisation may spend: at most burst + rate * T in every window
/// of length T, counted over the whole fleet.
struct RateLimit {
  /// Tokens per second.
  double rate = 0;
  double burst = 0;

  bool operator==(const RateLimit&) const = default;
};

/// Returns the limit of an organisation; nothing if it has none.
using LimitLookup =
    std::function<std::optional<RateLimit>(const std::string& organisation)>;

/// How long a lease lasts without renewal. It exceeds the 1.5 s that a change
/// of leader takes, so that tokens held by nodes stay usable meanwhile.
inline constexpr std::chrono::milliseconds kLeaseTtl{3000};

}  // namespace yuccastair::rates

#endif  // YUCCASTAIR_RATES_RATE_LIMIT_H_
