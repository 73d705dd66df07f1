// Requests on the policy that arrive at a follower.

#include "policy_request_service.h"

#include <catch2/catch.hpp>
#include <optional>

#include "fake_log.h"

namespace yuccastair::control {
namespace {

class FollowerFixture {
 protected:
  FollowerFixture() { log_.is_leader = false; }

  void SendReadRequest() {
    wire::PolicyRequest request;
    request.mutable_read();
    service_.Execute(
        request, [this](const wire::PolicyReply& reply) { reply_ = reply; });
  }

  support::ManualClock clock_;
  policy::PolicyTable table_;
  FakeLog log_{table_};
  std::uint64_t forwarded_correlation_ = 0;
  std::optional<wire::PolicyReply> reply_;
  PolicyRequestService service_{log_, table_, clock_,
                                [this](const std::string&,
                                       std::uint64_t correlation,
                                       const wire::PolicyRequest&) {
                                  forwarded_correlation_ = correlation;
                                }};
};

// Guards against an operator who waits for the full timeout of a call although
// the leader is unreachable, and only then tries another control process.
TEST_CASE_METHOD(FollowerFixture,
                 "a request that cannot be forwarded is replied to at once") {
  SendReadRequest();
  REQUIRE(forwarded_correlation_ != 0);
  service_.OnUndelivered(forwarded_correlation_, "127.0.0.1:1");
  REQUIRE(reply_);
  CHECK(reply_->status() == wire::POLICY_STATUS_UNAVAILABLE);
}

// Guards against a second reply to the same request.
TEST_CASE_METHOD(FollowerFixture, "a late reply is dropped") {
  SendReadRequest();
  service_.OnUndelivered(forwarded_correlation_, "127.0.0.1:1");
  reply_.reset();
  service_.OnReply(forwarded_correlation_, {});
  CHECK_FALSE(reply_);
}

}  // namespace
}  // namespace yuccastair::control
