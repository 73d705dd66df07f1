// Tests which control process each relay of a fleet uses.

#include "control_selector.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <random>

namespace yuccastair::relay {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

std::vector<ReportedControl> Controls(const std::vector<std::string>& zones) {
  std::vector<ReportedControl> controls;
  for (std::size_t i = 0; i < zones.size(); ++i)
    controls.push_back({"c" + std::to_string(i + 1), zones[i]});
  return controls;
}

class SelectorFixture {
 protected:
  ControlSelector MakeSelector(const std::string& node_id,
                               const std::string& zone) {
    return {
        clock_, node_id, zone, {"c1", "c2", "c3"}, [this](std::uint32_t bound) {
          return std::uniform_int_distribution<std::uint32_t>(
              0, bound - 1)(random_);
        }};
  }

  /// Syncs every 400 ms for \p time; the control processes in \p down do not
  /// reply. Returns the number of attempts to return.
  int Sync(ControlSelector& selector,
           const std::vector<ReportedControl>& controls,
           milliseconds time,
           const std::vector<std::string>& down = {}) {
    const auto replies = [&](const std::string& address) {
      return std::find(down.begin(), down.end(), address) == down.end();
    };
    int attempts = 0;
    for (milliseconds passed{0}; passed < time; passed += 400ms) {
      while (!replies(selector.in_use()) && selector.OnFailure()) {
      }
      if (replies(selector.in_use())) {
        selector.SetReported(controls, true);
        selector.OnSuccess();
        if (const auto candidate = selector.ReturnCandidate()) {
          ++attempts;
          selector.OnReturnAttempt(*candidate, replies(*candidate));
        }
      }
      clock_.Advance(400ms);
    }
    return attempts;
  }

  support::ManualClock clock_;
  std::mt19937 random_{5};
};

// Guards against a fleet whose syncs all go to the seeds, in whatever zone.
TEST_CASE_METHOD(SelectorFixture,
                 "relays use the control process of their own zone") {
  const auto controls = Controls({"a", "b", "c", "d", "e"});
  for (int i = 0; i < 300; ++i) {
    const std::string zone(1, static_cast<char>('a' + i % 5));
    auto selector = MakeSelector("relay-" + std::to_string(i), zone);
    Sync(selector, controls, 2s);
    REQUIRE(selector.in_use() == "c" + std::to_string(i % 5 + 1));
  }
}

TEST_CASE_METHOD(SelectorFixture,
                 "relays are spread evenly over equal control processes") {
  const bool zones_known = GENERATE(true, false);
  const auto controls = zones_known ? Controls({"a", "a", "a", "a", "b"})
                                    : Controls({"", "", "", "", ""});
  constexpr int kRelays = 1000;
  const int equal = zones_known ? 4 : 5;
  std::map<std::string, int> relays;
  for (int i = 0; i < kRelays; ++i) {
    auto selector = MakeSelector("relay-" + std::to_string(i), "a");
    Sync(selector, controls, 2s);
    ++relays[selector.in_use()];
  }
  CHECK(relays.size() == static_cast<std::size_t>(equal));
  const double share = 1.0 / equal;
  for (const auto& [control, count] : relays) {
    CAPTURE(control, count);
    CHECK(std::abs(count - kRelays * share) <=
          3 * std::sqrt(kRelays * share * (1 - share)));
  }
}

// Guards against relays that stay where a failure has sent them, and against
// all relays of a zone returning in the same moment.
TEST_CASE_METHOD(SelectorFixture,
                 "relays return one after the other once their first choice "
                 "replies again") {
  const auto controls = Controls({"a", "b", "c", "d", "e"});
  std::vector<std::unique_ptr<ControlSelector>> selectors;
  for (int i = 0; i < 100; ++i) {
    selectors.push_back(std::make_unique<ControlSelector>(
        MakeSelector("relay-" + std::to_string(i), "d")));
    Sync(*selectors.back(), controls, 2s);
    REQUIRE(selectors.back()->in_use() == "c4");
  }
  const support::TimePoint failed_at = clock_.Now();
  std::map<int, int> returned_in_second;
  for (const auto& selector : selectors) {
    CHECK(selector->OnFailure());
    CHECK(selector->in_use() != "c4");
  }
  for (int step = 0; step < 60; ++step) {
    for (const auto& selector : selectors) {
      if (selector->in_use() == "c4")
        continue;
      selector->SetReported(controls, true);
      selector->OnSuccess();
      if (const auto candidate = selector->ReturnCandidate()) {
        selector->OnReturnAttempt(*candidate, true);
        ++returned_in_second[step / 10];
      }
    }
    clock_.Advance(100ms);
  }
  CAPTURE(clock_.Now() - failed_at);
  int returned = 0;
  for (const auto& [second, count] : returned_in_second) {
    CHECK(second >= 2);
    CHECK(count <= 65);
    returned += count;
  }
  CHECK(returned == 100);
}

TEST_CASE_METHOD(SelectorFixture,
                 "attempts to return become rare while the first choice is "
                 "down") {
  const auto controls = Controls({"a", "b", "c", "d", "e"});
  auto selector = MakeSelector("relay", "d");
  Sync(selector, controls, 2s);
  const int attempts = Sync(selector, controls, 10min, {"c4"});
  // 4, 8, 16, 32 s, then every minute, of which each waits for a half at least.
  CHECK(attempts >= 8);
  CHECK(attempts <= 24);
  CHECK(selector.in_use() != "c4");
  Sync(selector, controls, 61s);
  CHECK(selector.in_use() == "c4");
}

// Guards against a control process that is cut off from the others and replaces
// the list of those that replied before.
TEST_CASE_METHOD(SelectorFixture, "a stale view only adds control processes") {
  auto selector = MakeSelector("relay", "d");
  Sync(selector, Controls({"a", "b", "c", "d"}), 2s);
  selector.SetReported({{"c9", "d"}}, false);
  CHECK(selector.size() == 5);
  selector.SetReported({{"c1", ""}}, false);
  CHECK(selector.size() == 5);
  CHECK(selector.in_use() == "c4");
}

TEST_CASE_METHOD(SelectorFixture, "a relay without addresses waits for some") {
  auto selector = MakeSelector("relay", "a");
  selector.SetSeeds({});
  CHECK(selector.empty());
  CHECK_FALSE(selector.OnFailure());
  selector.SetSeeds({"c7"});
  CHECK(selector.in_use() == "c7");
}

}  // namespace
}  // namespace yuccastair::relay
