// Decides for which organisation, route and settings a caller's request runs.

#ifndef YUCCASTAIR_LIB_NODE_AUTHORISER_H_
#define YUCCASTAIR_LIB_NODE_AUTHORISER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "envelope.pb.h"
#include "yuccastair/http/message.h"

namespace yuccastair::node {

/// The settings that apply to one request, taken from its route.
struct RequestPolicy {
  std::string route;
  std::string service;
  std::string organisation;
  wire::Importance importance = wire::IMPORTANCE_NORMAL;
  bool idempotent = false;
  bool open = false;
  std::uint32_t attempts = 6;
  std::chrono::milliseconds deadline{5000};
};

struct Authorisation {
  RequestPolicy policy;
  /// Set where the request must not run.
  std::optional<wire::CallReply> refusal;
};

/// Matches requests to routes and keys to organisations.
class Authoriser {
 public:
  /// Decides on a request of a caller. \p key is empty if none came with it.
  Authorisation AuthoriseCaller(const http::Request& request,
                                const std::string& key) const;

  /// Decides on a call of the own target, whose organisation is already known.
  Authorisation AuthoriseTargetCall(const http::Request& request,
                                    const std::string& organisation) const;
};

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_AUTHORISER_H_
