// The interface between the relay and the platform that it runs on.

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

/// Names of the HTTP headers that the relay exchanges with callers and targets.
struct HeaderNames {
  /// Request id: chosen by the caller, echoed by the target.
  std::string request_id = "x-yuccastair-request-id";
  /// Time until the response is due, in ms.
  std::string deadline = "x-yuccastair-deadline-ms";
  /// Organisation on whose behalf the request runs.
  std::string organisation = "x-yuccastair-organisation";
  /// Service of the instance that the request was sent from.
  std::string caller_service = "x-yuccastair-caller";
  /// Id of the only target that may run the request.
  std::string expected_target = "x-yuccastair-expected-target";
  /// Id of the target, in its responses to health checks.
  std::string target_id = "x-yuccastair-target";
  /// Time for which the target stays cold in ms, in its responses to health
  /// checks.
  std::string cold_time = "x-yuccastair-cold-ms";
  /// Set in the response of a target that did not run the request.
  std::string not_run = "x-yuccastair-not-run";
  /// Signature that a target adds to its responses.
  std::string target_signature = "x-yuccastair-seal";
  /// Carries `api_key_scheme`, a space and the API key of the caller.
  std::string api_key = "authorization";
  std::string api_key_scheme = "Bearer";
};

enum class AnnouncedState { kReady, kDraining, kDeregistered };

/// State of a target, as it reports it to its relay.
struct Announcement {
  std::string target_id;
  AnnouncedState state = AnnouncedState::kReady;
  /// Start time of the target's process by its own clock, in Unix ms; 0 if
  /// unknown.
  std::uint64_t started_ms = 0;
  /// Increases with each announcement of a process; 0 if unknown.
  std::uint64_t sequence = 0;
  std::string service;
  support::Address address;
  /// Number of requests that the target runs concurrently.
  std::uint32_t slots = 0;
  /// Time for which the target stays cold.
  std::chrono::milliseconds remaining_cold_time{0};
};

/// Translates between the relay's interfaces and those of a platform. Makes no
/// decisions.
struct Adapter {
  HeaderNames headers;
  /// Path of the readiness check.
  std::string readiness_path = "/ready";

  /// A decoded call from a target to its relay.
  struct TargetCall {
    /// Empty if the call contains no usable announcement.
    std::optional<Announcement> announcement;
    std::string content_type;
    std::string response_body;
  };
  /// Decodes a call by method, path and body; returns nothing for an unknown
  /// call.
  std::function<std::optional<TargetCall>(std::string_view method,
                                          std::string_view path,
                                          std::string_view body)>
      decode_target_call;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_RELAY_ADAPTER_H_
