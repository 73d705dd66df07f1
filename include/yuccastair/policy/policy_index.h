// Looks up routes, services and organisations of one policy.

#ifndef YUCCASTAIR_POLICY_POLICY_INDEX_H_
#define YUCCASTAIR_POLICY_POLICY_INDEX_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy.pb.h"

namespace yuccastair::policy {

/// An immutable policy with the indexes that the data path needs.
class PolicyIndex {
 public:
  explicit PolicyIndex(wire::Policy policy);

  PolicyIndex(const PolicyIndex&) = delete;
  PolicyIndex& operator=(const PolicyIndex&) = delete;

  /// Returns the route of \p host with the longest prefix of \p path, a query
  /// included; null if there is none. A port in \p host is ignored.
  const wire::PolicyRoute* FindRoute(std::string_view host,
                                     std::string_view path) const;
  const wire::PolicyOrganisation* FindByKey(const std::string& key) const;
  const wire::PolicyOrganisation* FindOrganisation(
      const std::string& name) const;
  const wire::PolicyService* FindService(const std::string& name) const;

  const wire::Policy& policy() const { return policy_; }
  std::uint64_t version() const { return policy_.version(); }

 private:
  const wire::Policy policy_;
  // By host in lower case; longest prefix first.
  std::unordered_map<std::string, std::vector<const wire::PolicyRoute*>>
      routes_;
  std::unordered_map<std::string, const wire::PolicyOrganisation*> by_key_;
  std::unordered_map<std::string, const wire::PolicyOrganisation*> by_name_;
  std::unordered_map<std::string, const wire::PolicyService*> services_;
};

}  // namespace yuccastair::policy

#endif  // YUCCASTAIR_POLICY_POLICY_INDEX_H_
