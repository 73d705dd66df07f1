// Checks of a request's path and key, and of the age of the settings.

#include "authoriser.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>
#include <utility>

#include "call_reply.h"

namespace yuccastair::node {
namespace {

constexpr const char* kAuthoriseStep = "authorise";

/// RFC 9110 also defines PUT and DELETE as idempotent, but a target that writes
/// may have side effects beyond the resource, so those need a setting.
bool IsIdempotentMethod(const std::string& method) {
  constexpr std::array<std::string_view, 3> kMethods = {"GET", "HEAD",
                                                        "OPTIONS"};
  return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
}

/// Returns whether targets and this node resolve the path in the same way. A
/// path such as /open/../private would otherwise get the settings of a route
/// other than the one that the target serves.
bool IsUnambiguousPath(std::string_view path) {
  if (path.empty() || path.front() != '/' ||
      path.find('\\') != std::string_view::npos)
    return false;
  std::size_t begin = 1;
  while (begin <= path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    const std::string_view segment = path.substr(begin, end - begin);
    if (segment == "." || segment == ".." ||
        (segment.empty() && end < path.size()))
      return false;
    begin = end + 1;
  }
  for (std::size_t at = path.find('%'); at != std::string_view::npos;
       at = path.find('%', at + 1)) {
    std::string hex_digits(path.substr(at + 1, 2));
    std::transform(
        hex_digits.begin(), hex_digits.end(), hex_digits.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    if (hex_digits == "2e" || hex_digits == "2f" || hex_digits == "5c" ||
        hex_digits == "25")
      return false;
  }
  return true;
}

Authorisation MakeRejection(int status, const std::string& reason) {
  Authorisation authorisation;
  authorisation.rejection = NotRunReply(kAuthoriseStep, reason, status);
  return authorisation;
}

bool IsIdempotent(const EffectiveSettings& settings,
                  const std::string& method) {
  switch (static_cast<state::Idempotence>(settings.Get(state::kIdempotent))) {
    case state::Idempotence::kYes:
      return true;
    case state::Idempotence::kByMethod:
      return IsIdempotentMethod(method);
    case state::Idempotence::kNo:
      break;
  }
  return false;
}

RequestPolicy MakeRequestPolicy(const Route& route,
                                const http::Request& request) {
  const EffectiveSettings& settings = route.settings;
  RequestPolicy policy;
  policy.route = route.name;
  policy.service = route.service;
  policy.importance =
      static_cast<wire::Importance>(settings.Get(state::kImportance));
  policy.idempotent = IsIdempotent(settings, request.method);
  policy.open_access = settings.GetBoolean(state::kOpen);
  policy.max_attempts =
      static_cast<std::uint32_t>(settings.Get(state::kAttempts));
  policy.deadline = std::chrono::milliseconds(settings.Get(state::kDeadlineMs));
  return policy;
}

/// Finds the route of a request in one version of the settings.
Authorisation MatchRoute(const SettingsVersion& settings,
                         const http::Request& request) {
  const std::string_view path =
      std::string_view(request.path).substr(0, request.path.find('?'));
  if (!IsUnambiguousPath(path))
    return MakeRejection(400,
                         "the path must begin with / and have no empty, dot or "
                         "encoded dot, slash, backslash or percent segments");
  const Route* route = settings.FindRoute(request.method, path);
  if (!route)
    return MakeRejection(404, "no route matches the method and path");
  Authorisation authorisation;
  authorisation.policy = MakeRequestPolicy(*route, request);
  authorisation.policy.settings_version = settings.version();
  return authorisation;
}

}  // namespace

Authoriser::Authoriser(const SettingsView& settings,
                       const support::Clock& clock,
                       std::function<support::TimePoint()> current_as_of)
    : settings_(settings),
      clock_(clock),
      current_as_of_(std::move(current_as_of)) {}

bool Authoriser::AreSettingsCurrent() const {
  return clock_.Now() - current_as_of_() <= kMaxSettingsAge;
}

Authorisation Authoriser::AuthoriseCaller(const http::Request& request,
                                          const std::string& key) const {
  const auto settings = settings_.Current();
  const bool current = AreSettingsCurrent();
  Authorisation authorisation = MatchRoute(*settings, request);
  if (!authorisation.rejection && authorisation.policy.open_access) {
    // A valid key still attributes the request to its organisation.
    if (current)
      authorisation.policy.organisation = settings->FindOrganisationByKey(key);
    return authorisation;
  }
  // Stale settings may lack a route that was added since.
  if (!current)
    return MakeRejection(
        503,
        "this node has not synchronised with the control processes "
        "for more than 3 s, so it cannot verify the key");
  if (authorisation.rejection)
    return authorisation;
  authorisation.policy.organisation = settings->FindOrganisationByKey(key);
  if (authorisation.policy.organisation.empty())
    return MakeRejection(401, key.empty() ? "the request carries no key"
                                          : "the key is not valid");
  return authorisation;
}

Authorisation Authoriser::AuthoriseTargetCall(
    const http::Request& request,
    const std::string& organisation) const {
  const auto settings = settings_.Current();
  Authorisation authorisation = MatchRoute(*settings, request);
  if (authorisation.rejection) {
    if (authorisation.rejection->status() == 404 && !AreSettingsCurrent())
      return MakeRejection(503,
                           "no route matches the method and path, but the "
                           "settings of this node are older than 3 s");
    return authorisation;
  }
  authorisation.policy.organisation = organisation;
  return authorisation;
}

}  // namespace yuccastair::node
