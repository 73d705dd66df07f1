// The rules that a routing policy has to meet.

#include "yuccastair/policy/validate.h"

#include <cstdint>
#include <set>
#include <utility>

namespace yuccastair::policy {
namespace {

std::string Quoted(const std::string& name) {
  return "\"" + name + "\"";
}

std::optional<std::string> FindFault(const wire::PolicyRoute& route,
                                     const std::set<std::string>& services) {
  const std::string where = "route " + Quoted(route.name()) + ": ";
  if (route.timeout_ms() == 0)
    return where + "the timeout is 0";
  if (route.timeout_ms() > kMaxTimeout.count())
    return where + "the timeout exceeds 10 minutes";
  if (route.objective_ms() >=
      std::uint64_t{route.timeout_ms()} +
          static_cast<std::uint64_t>(kMaxObjectiveExcess.count()))
    return where + "the latency objective exceeds the timeout by a minute";
  if (route.path_prefix().empty() || route.path_prefix().front() != '/')
    return where + "the path prefix does not begin with a slash";
  if (route.shares().empty())
    return where + "no service is named";
  std::uint64_t weights = 0;
  for (const wire::PolicyShare& share : route.shares()) {
    if (services.count(share.service()) == 0)
      return where + "service " + Quoted(share.service()) + " does not exist";
    weights += share.weight();
  }
  if (weights == 0)
    return where + "all weights are 0";
  return std::nullopt;
}

}  // namespace

std::optional<std::string> FindFault(const wire::Policy& policy) {
  if (policy.version() == 0)
    return "the version is 0";
  std::set<std::string> services;
  for (const wire::PolicyService& service : policy.services()) {
    if (service.name().empty() || !services.insert(service.name()).second)
      return "service " + Quoted(service.name()) +
             " is unnamed or defined twice";
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const wire::PolicyRoute& route : policy.routes()) {
    if (auto fault = FindFault(route, services))
      return fault;
    if (!places.emplace(route.host(), route.path_prefix()).second)
      return "route " + Quoted(route.name()) +
             ": another route has the same host and path prefix";
  }
  std::set<std::string> keys;
  std::set<std::string> organisations;
  for (const wire::PolicyOrganisation& organisation : policy.organisations()) {
    if (!organisations.insert(organisation.name()).second)
      return "organisation " + Quoted(organisation.name()) +
             " is defined twice";
    // The key itself is a secret and is not shown.
    for (const std::string& key : organisation.keys()) {
      if (!keys.insert(key).second)
        return "organisation " + Quoted(organisation.name()) +
               " has a key that appears twice";
    }
  }
  return std::nullopt;
}

}  // namespace yuccastair::policy
