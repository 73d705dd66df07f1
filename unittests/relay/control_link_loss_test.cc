// Tests how a relay that has lost all control processes reconnects.

#include <catch2/catch.hpp>
#include <memory>

#include "control_link_fixture.h"
#include "fake_control_process.h"

namespace yuccastair::relay {
namespace {

constexpr const char* kSeed = "127.0.0.1:26021";
constexpr const char* kOther = "127.0.0.1:26022";
constexpr const char* kIsolated = "127.0.0.1:26023";

// Guards against a relay that forgets reported control processes and tries only
// seeds that no longer exist.
TEST_CASE_METHOD(ControlLinkFixture,
                 "a relay reconnects to a control process that is no seed") {
  auto seed = std::make_unique<FakeControlProcess>(
      kSeed, 0, std::vector<std::string>{kOther});
  Start({kSeed});
  REQUIRE(RunUntil([&] { return seed->sync_count() > 0; }));
  REQUIRE(RunUntil([&] { return IsFresh(); }));
  seed.reset();
  const int before = reload_count_;
  REQUIRE(RunUntil([&] { return reload_count_ > before + 1; }));
  const FakeControlProcess other(kOther, 0);
  CHECK(RunUntil([&] { return other.sync_count() > 0; }));
}

// Guards against a relay that replaces its list of control processes with that
// of a control process which is disconnected from the others.
TEST_CASE_METHOD(ControlLinkFixture,
                 "a stale view does not replace the known control processes") {
  constexpr std::uint32_t kOldAgeMs = 60000;
  auto seed = std::make_unique<FakeControlProcess>(
      kSeed, 0, std::vector<std::string>{kSeed, kOther});
  Start({kSeed, kIsolated});
  REQUIRE(RunUntil([&] { return IsFresh(); }));
  const FakeControlProcess isolated(kIsolated, kOldAgeMs,
                                    std::vector<std::string>{kIsolated});
  seed.reset();
  REQUIRE(RunUntil([&] { return isolated.sync_count() > 1; }));
  const FakeControlProcess other(kOther, 0);
  CHECK(RunUntil([&] { return other.sync_count() > 0; }));
}

}  // namespace
}  // namespace yuccastair::relay
