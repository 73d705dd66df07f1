// Determines the organisation, route and settings of a request.

#ifndef YUCCASTAIR_LIB_NODE_AUTHORISER_H_
#define YUCCASTAIR_LIB_NODE_AUTHORISER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "envelope.pb.h"
#include "settings_view.h"
#include "yuccastair/http/message.h"
#include "yuccastair/support/clock.h"

namespace yuccastair::node {

/// The settings that apply to one request, taken from its route.
struct RequestPolicy {
  std::string route;
  std::string service;
  std::string organisation;
  wire::Importance importance = wire::IMPORTANCE_NORMAL;
  bool idempotent = false;
  bool open_access = false;
  std::uint32_t max_attempts = 6;
  std::chrono::milliseconds deadline{5000};
  std::uint64_t settings_version = 0;
};

struct Authorisation {
  RequestPolicy policy;
  /// Set if the request must not run.
  std::optional<wire::CallReply> rejection;
};

/// Matches requests to routes and keys to organisations.
class Authoriser {
 public:
  /// Keys are rejected once the settings have not been known to be current for
  /// longer than this, so that a revoked key stops working.
  static constexpr std::chrono::milliseconds kMaxSettingsAge{3000};

  /// \p current_as_of returns the time at which the settings were last known to
  /// be current.
  Authoriser(const SettingsView& settings,
             const support::Clock& clock,
             std::function<support::TimePoint()> current_as_of);

  /// Authorises a request of a caller. \p key is empty if it carries none.
  Authorisation AuthoriseCaller(const http::Request& request,
                                const std::string& key) const;

  /// Authorises a call of the local target, whose organisation is already
  /// known.
  Authorisation AuthoriseTargetCall(const http::Request& request,
                                    const std::string& organisation) const;

 private:
  bool AreSettingsCurrent() const;

  const SettingsView& settings_;
  const support::Clock& clock_;
  const std::function<support::TimePoint()> current_as_of_;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_AUTHORISER_H_
