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

constexpr const char* kStep = "authorise";

/// RFC 9110 also defines PUT and DELETE as idempotent, but a target that writes
/// may have side effects beyond the resource, so those need a setting.
bool MayRunTwice(const std::string& method) {
  constexpr std::array<std::string_view, 3> kMethods = {"GET", "HEAD",
                                                        "OPTIONS"};
  return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
}

/// Returns whether targets and this node resolve the path in the same way. A
/// path such as /open/../private would otherwise get the settings of a route
/// other than the one that the target serves.
bool IsPlainPath(std::string_view path) {
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
    std::string code(path.substr(at + 1, 2));
    std::transform(code.begin(), code.end(), code.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    if (code == "2e" || code == "2f" || code == "5c" || code == "25")
      return false;
  }
  return true;
}

Authorisation Refused(int status, const std::string& reason) {
  Authorisation authorisation;
  authorisation.refusal = NotRun(kStep, reason, status);
  return authorisation;
}

bool IsIdempotent(const EffectiveSettings& settings,
                  const std::string& method) {
  switch (static_cast<state::Idempotence>(settings.Get(state::kIdempotent))) {
    case state::Idempotence::kYes:
      return true;
    case state::Idempotence::kByMethod:
      return MayRunTwice(method);
    case state::Idempotence::kNo:
      break;
  }
  return false;
}

RequestPolicy PolicyOf(const Route& route, const http::Request& request) {
  const EffectiveSettings& settings = route.settings;
  RequestPolicy policy;
  policy.route = route.name;
  policy.service = route.service;
  policy.importance =
      static_cast<wire::Importance>(settings.Get(state::kImportance));
  policy.idempotent = IsIdempotent(settings, request.method);
  policy.open = settings.GetBoolean(state::kOpen);
  policy.attempts = static_cast<std::uint32_t>(settings.Get(state::kAttempts));
  policy.deadline = std::chrono::milliseconds(settings.Get(state::kDeadlineMs));
  return policy;
}

/// Finds the route of a request in one version of the settings.
Authorisation MatchRoute(const SettingsVersion& settings,
                         const http::Request& request) {
  const std::string_view path =
      std::string_view(request.path).substr(0, request.path.find('?'));
  if (!IsPlainPath(path))
    return Refused(400,
                   "the path must begin with / and have no empty, dot or "
                   "encoded dot, slash, backslash or percent segments");
  const Route* route = settings.FindRoute(request.method, path);
  if (!route)
    return Refused(404, "no route matches the method and path");
  Authorisation authorisation;
  authorisation.policy = PolicyOf(*route, request);
  authorisation.policy.settings_version = settings.version();
  return authorisation;
}

}  // namespace

Authoriser::Authoriser(const SettingsView& settings,
                       const support::Clock& clock,
                       std::function<support::TimePoint()> fresh_at)
    : settings_(settings), clock_(clock), fresh_at_(std::move(fresh_at)) {}

bool Authoriser::IsFresh() const {
  return clock_.Now() - fresh_at_() <= kFreshnessBound;
}

Authorisation Authoriser::AuthoriseCaller(const http::Request& request,
                                          const std::string& key) const {
  const auto settings = settings_.Current();
  const bool fresh = IsFresh();
  Authorisation authorisation = MatchRoute(*settings, request);
  if (!authorisation.refusal && authorisation.policy.open) {
    // A valid key still attributes the request to its organisation.
    if (fresh)
      authorisation.policy.organisation = settings->OrganisationOfKey(key);
    return authorisation;
  }
  // Stale settings may lack a route that was added since.
  if (!fresh)
    return Refused(503,
                   "this node has not synchronised with the control processes "
                   "for more than 3 s, so it cannot verify the key");
  if (authorisation.refusal)
    return authorisation;
  authorisation.policy.organisation = settings->OrganisationOfKey(key);
  if (authorisation.policy.organisation.empty())
    return Refused(401, key.empty() ? "the request carries no key"
                                    : "the key is not valid");
  return authorisation;
}

Authorisation Authoriser::AuthoriseTargetCall(
    const http::Request& request,
    const std::string& organisation) const {
  const auto settings = settings_.Current();
  Authorisation authorisation = MatchRoute(*settings, request);
  if (authorisation.refusal) {
    if (authorisation.refusal->status() == 404 && !IsFresh())
      return Refused(503,
                     "no route matches the method and path, but the "
                     "settings of this node are older than 3 s");
    return authorisation;
  }
  authorisation.policy.organisation = organisation;
  return authorisation;
}

}  // namespace yuccastair::node
