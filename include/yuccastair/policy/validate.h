// Checks a routing policy by itself, without regard to the current one.

#ifndef YUCCASTAIR_POLICY_VALIDATE_H_
#define YUCCASTAIR_POLICY_VALIDATE_H_

#include <chrono>
#include <optional>
#include <string>

#include "policy.pb.h"

namespace yuccastair::policy {

/// Longest time that a route may keep its callers waiting.
inline constexpr std::chrono::milliseconds kMaxTimeout =
    std::chrono::minutes(10);
/// An objective this far above the timeout is a mistake: it cannot be missed.
inline constexpr std::chrono::milliseconds kMaxObjectiveExcess =
    std::chrono::minutes(1);

/// Returns what is wrong with \p policy; nothing if it can be put in force.
std::optional<std::string> FindFault(const wire::Policy& policy);

}  // namespace yuccastair::policy

#endif  // YUCCASTAIR_POLICY_VALIDATE_H_
