// The relay: the event-driven process beside a target.

#ifndef YUCCASTAIR_RELAY_RELAY_H_
#define YUCCASTAIR_RELAY_RELAY_H_

#include <functional>
#include <memory>
#include <optional>

#include "yuccastair/relay/adapter.h"
#include "yuccastair/relay/settings.h"

namespace yuccastair::relay {

/// Takes the requests that begin on an instance, and those of other relays for
/// the target beside it.
class Relay {
 public:
  /// Reads the settings anew; returns nothing if they are not valid.
  using Reload = std::function<std::optional<Settings>()>;

  /// Binds the addresses. Throws Error if one cannot be bound.
  Relay(Settings settings, Adapter adapter, Reload reload);
  ~Relay();

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Serves until SIGTERM or SIGINT has been answered: the relay reports that
  /// it leaves, goes on serving until others have noticed and no request is
  /// left, and returns within Settings::shutdown_timeout. SIGHUP reads the
  /// settings anew.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_RELAY_RELAY_H_
