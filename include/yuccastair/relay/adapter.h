// What the relay has to be told about the surroundings it runs in.

#ifndef YUCCASTAIR_RELAY_ADAPTER_H_
#define YUCCASTAIR_RELAY_ADAPTER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "yuccastair/support/address.h"

namespace yuccastair::relay {

/// Names of the headers that callers and targets exchange with the relay.
struct HeaderNames {
  /// Id of a request, chosen by the caller, echoed by targets.
  std::string request_id = "x-yuccastair-request-id";
  /// Time that the receiver has for the answer, in ms.
  std::string deadline = "x-yuccastair-deadline-ms";
  /// Organisation for which a request runs.
  std::string organisation = "x-yuccastair-organisation";
  /// Service on whose instance a request began.
  std::string caller_service = "x-yuccastair-caller";
  /// Id of the target that alone may run the request.
  std::string expected_target = "x-yuccastair-expected-target";
  /// Present in the answer of a target that did not run the request.
  std::string not_run = "x-yuccastair-not-run";
  /// Signature of a target under its answer.
  std::string seal = "x-yuccastair-seal";
  /// Carries the caller's key behind `key_scheme` and a space.
  std::string key = "authorization";
  std::string key_scheme = "Bearer";
};

enum class AnnouncedState { kReady, kDraining, kGone };

/// What a target says of itself.
struct Announcement {
  std::string target_id;
  AnnouncedState state = AnnouncedState::kReady;
  /// Start of the target's process on its own clock, in Unix ms; 0 if unknown.
  std::uint64_t started_ms = 0;
  /// Grows with every announcement of one process; 0 if unknown.
  std::uint64_t sequence = 0;
  std::string service;
  support::Address address;
  /// Requests that the target works on at once.
  std::uint32_t slots = 0;
  /// How much longer the target stays cold.
  std::chrono::milliseconds cold_left{0};
};

/// Translates between the relay and a platform. Decides nothing.
struct Adapter {
  HeaderNames headers;
  /// Path of the readiness check.
  std::string ready_path = "/ready";

  /// A call of a target to its node, decoded.
  struct TargetCall {
    /// Nothing if the call says nothing that can be used.
    std::optional<Announcement> announcement;
    std::string content_type;
    std::string answer;
  };
  /// Decodes a call by method, path and body; returns nothing if there is no
  /// such call.
  std::function<std::optional<TargetCall>(std::string_view method,
                                          std::string_view path,
                                          std::string_view body)>
      decode_target_call;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_RELAY_ADAPTER_H_
