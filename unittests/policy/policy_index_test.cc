// Looking up routes and keys.

#include "yuccastair/policy/policy_index.h"

#include <catch2/catch.hpp>

namespace yuccastair::policy {
namespace {

wire::Policy MakePolicy() {
  wire::Policy policy;
  policy.set_version(3);
  for (const char* prefix : {"/a/", "/a/b/", "/"}) {
    wire::PolicyRoute* route = policy.add_routes();
    route->set_name(prefix);
    route->set_host("one.example");
    route->set_path_prefix(prefix);
  }
  wire::PolicyOrganisation* organisation = policy.add_organisations();
  organisation->set_name("org");
  organisation->add_keys("k1");
  organisation->add_keys("k2");
  return policy;
}

// Guards against a request that runs on the route of a shorter prefix.
TEST_CASE("the longest prefix of the host wins") {
  const PolicyIndex index(MakePolicy());
  struct Case {
    const char* host;
    const char* path;
    const char* route;
  };
  for (const Case& test :
       {Case{"one.example", "/a/b/c", "/a/b/"},
        Case{"one.example", "/a/x", "/a/"}, Case{"one.example", "/a", "/"},
        Case{"ONE.example:8080", "/a/b/?q=/", "/a/b/"},
        Case{"one.example", "/x?/a/b/", "/"},
        Case{"two.example", "/a/", nullptr}}) {
    CAPTURE(test.host, test.path);
    const wire::PolicyRoute* route = index.FindRoute(test.host, test.path);
    if (test.route == nullptr) {
      CHECK(route == nullptr);
    } else {
      REQUIRE(route != nullptr);
      CHECK(route->name() == test.route);
    }
  }
}

TEST_CASE("each key leads to its organisation and no other text does") {
  const PolicyIndex index(MakePolicy());
  REQUIRE(index.FindByKey("k2") != nullptr);
  CHECK(index.FindByKey("k2")->name() == "org");
  CHECK(index.FindByKey("") == nullptr);
  CHECK(index.FindByKey("k") == nullptr);
  CHECK(index.FindOrganisation("org") != nullptr);
  CHECK(index.FindService("org") == nullptr);
}

}  // namespace
}  // namespace yuccastair::policy
