// Builds and reads the indexes of a policy.

#include "yuccastair/policy/policy_index.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace yuccastair::policy {
namespace {

std::string HostOf(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

template <typename Map>
auto* Find(const Map& map, const std::string& name) {
  const auto found = map.find(name);
  return found == map.end() ? nullptr : found->second;
}

}  // namespace

PolicyIndex::PolicyIndex(wire::Policy policy) : policy_(std::move(policy)) {
  for (const wire::PolicyRoute& route : policy_.routes())
    routes_[HostOf(route.host())].push_back(&route);
  for (auto& [host, routes] : routes_) {
    std::sort(routes.begin(), routes.end(), [](const auto* a, const auto* b) {
      return a->path_prefix().size() > b->path_prefix().size();
    });
  }
  for (const wire::PolicyOrganisation& organisation : policy_.organisations()) {
    by_name_[organisation.name()] = &organisation;
    for (const std::string& key : organisation.keys())
      by_key_[key] = &organisation;
  }
  for (const wire::PolicyService& service : policy_.services())
    services_[service.name()] = &service;
}

const wire::PolicyRoute* PolicyIndex::FindRoute(std::string_view host,
                                                std::string_view path) const {
  const auto found = routes_.find(HostOf(host));
  if (found == routes_.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  const auto route = std::find_if(
      found->second.begin(), found->second.end(), [&](const auto* candidate) {
        return path.substr(0, candidate->path_prefix().size()) ==
               candidate->path_prefix();
      });
  return route == found->second.end() ? nullptr : *route;
}

const wire::PolicyOrganisation* PolicyIndex::FindByKey(
    const std::string& key) const {
  return Find(by_key_, key);
}

const wire::PolicyOrganisation* PolicyIndex::FindOrganisation(
    const std::string& name) const {
  return Find(by_name_, name);
}

const wire::PolicyService* PolicyIndex::FindService(
    const std::string& name) const {
  return Find(services_, name);
}

}  // namespace yuccastair::policy
