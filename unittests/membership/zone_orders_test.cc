// The time for which zones retire, by the dates of the orders.

#include "yuccastair/membership/zone_orders.h"

#include <catch2/catch.hpp>

namespace yuccastair::membership {
namespace {

using namespace std::chrono_literals;

constexpr auto kHalfRetirement = ZoneOrders::kRetirementTime / 2;

class ZoneOrdersFixture {
 protected:
  /// Updates from a log that is current as of \p age ago.
  void Update(const std::set<std::string>& zones_out,
              std::optional<support::Duration> age = 0ms) {
    std::optional<support::TimePoint> as_of;
    if (age)
      as_of = clock_.Now() - *age;
    dates_.Update(zones_out, as_of);
    orders_.Set(dates_.out_since());
  }

  support::ManualClock clock_;
  ZoneOrderDates dates_;
  ZoneOrders orders_{clock_};
};

TEST_CASE_METHOD(ZoneOrdersFixture, "a zone retires before it is out") {
  Update({});
  Update({"a"});
  CHECK(orders_.UseOf("a") == ZoneUse::kRetiring);
  CHECK(orders_.UseOf("b") == ZoneUse::kInService);
  CHECK(orders_.ZonesIn(ZoneUse::kRetiring) == std::set<std::string>{"a"});
  clock_.Advance(kHalfRetirement);
  Update({"a"});
  CHECK(orders_.RetirementLeft("a") ==
        ZoneOrders::kRetirementTime - kHalfRetirement);
  clock_.Advance(kHalfRetirement);
  CHECK(orders_.UseOf("a") == ZoneUse::kOut);
  CHECK_FALSE(orders_.RetirementLeft("a"));
  Update({});
  CHECK(orders_.UseOf("a") == ZoneUse::kInService);
}

// Guards against a zone that is used for too long by a process that learns the
// order late.
TEST_CASE_METHOD(ZoneOrdersFixture,
                 "the time runs from when the order can have been accepted") {
  SECTION("by a process that was cut off") {
    Update({});
    clock_.Advance(kHalfRetirement);
    Update({}, kHalfRetirement);
    Update({"a"});
    CHECK(orders_.MaxAge("a") == kHalfRetirement);
    clock_.Advance(ZoneOrders::kRetirementTime - kHalfRetirement);
  }
  SECTION("by a process that has just started") {
    Update({}, std::nullopt);
    Update({"a"});
    CHECK_FALSE(orders_.MaxAge("a"));
  }
  SECTION("and is not prolonged by an unnoticed return of the zone") {
    Update({});
    Update({"a"});
    clock_.Advance(ZoneOrders::kRetirementTime);
    Update({"a"});
  }
  CHECK(orders_.UseOf("a") == ZoneUse::kOut);
}

TEST_CASE_METHOD(ZoneOrdersFixture, "a second order has a time of its own") {
  Update({});
  Update({"a"});
  clock_.Advance(ZoneOrders::kRetirementTime);
  Update({});
  Update({"a"});
  CHECK(orders_.UseOf("a") == ZoneUse::kRetiring);
}

}  // namespace
}  // namespace yuccastair::membership
