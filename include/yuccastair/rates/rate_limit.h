// The rate limit of an organisation and constants shared by leader and nodes.

#ifndef YUCCASTAIR_RATES_RATE_LIMIT_H_
#define YUCCASTAIR_RATES_RATE_LIMIT_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace yuccastair::rates {

/// The tokens that an organisation may spend over the whole fleet: at most
/// burst + rate * T in every window of length T.
struct RateLimit {
  /// Tokens per second.
  double rate = 0;
  /// Tokens.
  double burst = 0;

  bool operator==(const RateLimit&) const = default;
};

/// Returns the limit of an organisation; nothing if it has none.
using LimitLookup =
    std::function<std::optional<RateLimit>(const std::string& organisation)>;

/// Duration of a lease without renewal. It exceeds the 1.5 s that a leader
/// change takes, so that nodes can spend the tokens that they hold meanwhile.
inline constexpr std::chrono::milliseconds kLeaseTtl{3000};

}  // namespace yuccastair::rates

#endif  // YUCCASTAIR_RATES_RATE_LIMIT_H_
