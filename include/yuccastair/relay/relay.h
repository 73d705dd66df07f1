// The relay: the event-driven process next to each target.

#ifndef YUCCASTAIR_RELAY_RELAY_H_
#define YUCCASTAIR_RELAY_RELAY_H_

#include <functional>
#include <memory>
#include <optional>

#include "yuccastair/relay/adapter.h"
#include "yuccastair/relay/settings.h"

namespace yuccastair::relay {

/// Handles the requests that callers on this instance send, and the requests
/// that other relays send to the local target.
class Relay {
 public:
  /// Reloads the settings; returns nothing if they are invalid.
  using SettingsReloader = std::function<std::optional<Settings>()>;

  /// Binds all listening addresses. Throws Error if one cannot be bound.
  Relay(Settings settings, Adapter adapter, SettingsReloader reload);
  ~Relay();

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Serves until a shutdown on SIGTERM or SIGINT completes. The relay first
  /// reports that it is leaving and keeps serving until others have noticed.
  /// Then it refuses new requests and returns when those that it has accepted
  /// are answered, within Settings::shutdown_timeout. SIGHUP reloads the
  /// settings.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_RELAY_RELAY_H_
