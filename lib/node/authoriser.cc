// The first segment of the path names the service, until routes are known.

#include "authoriser.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace yuccastair::node {
namespace {

bool IsIdempotentMethod(const std::string& method) {
  constexpr std::array<std::string_view, 5> kMethods = {
      "GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
  return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
}

std::string FirstSegment(const std::string& path) {
  const std::size_t begin = path.find_first_not_of('/');
  if (begin == std::string::npos)
    return "";
  const std::size_t end = path.find_first_of("/?", begin);
  return path.substr(begin, end == std::string::npos ? end : end - begin);
}

}  // namespace

Authorisation Authoriser::AuthoriseCaller(const http::Request& request,
                                          const std::string& /*key*/) const {
  return AuthoriseTargetCall(request, "");
}

Authorisation Authoriser::AuthoriseTargetCall(
    const http::Request& request,
    const std::string& organisation) const {
  Authorisation authorisation;
  authorisation.policy.service = FirstSegment(request.path);
  authorisation.policy.route = authorisation.policy.service;
  authorisation.policy.organisation = organisation;
  authorisation.policy.idempotent = IsIdempotentMethod(request.method);
  return authorisation;
}

}  // namespace yuccastair::node
