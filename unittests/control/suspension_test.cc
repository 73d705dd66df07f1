// Control processes on an instance that was suspended: the monotonic clock
// stops during a suspension, the time since boot does not.

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "log_prober.h"
#include "temporary_dir.h"
#include "yuccastair/control/control.h"

namespace {

std::atomic<std::time_t> g_suspended_seconds = 0;

}  // namespace

/// Overrides the function of the C library in this program. Adds the simulated
/// suspension to the time since boot.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const auto result = syscall(SYS_clock_gettime, clock, time);
  if (clock == CLOCK_BOOTTIME)
    time->tv_sec += g_suspended_seconds;
  return static_cast<int>(result);
}

namespace yuccastair::control {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t kFirstPort = 26041;
constexpr int kProcessCount = 3;
constexpr auto kTermTimeout = 30s;

support::Address LocalAddress(int offset) {
  return {.host = "127.0.0.1",
          .port = static_cast<std::uint16_t>(kFirstPort + offset)};
}

class SuspensionFixture {
 protected:
  SuspensionFixture() {
    for (int i = 0; i < kProcessCount; ++i) {
      Settings settings;
      settings.id = "control-" + std::to_string(i);
      settings.availability_zone = "z" + std::to_string(i);
      settings.peer_listen = LocalAddress(i);
      settings.operator_listen = LocalAddress(kProcessCount + i);
      settings.data_dir = (dir_.path() / settings.id).string();
      for (int peer = 0; peer < kProcessCount; ++peer)
        settings.peers.push_back(LocalAddress(peer));
      settings.member_expiry = 3s;
      processes_.push_back(std::make_unique<Control>(std::move(settings)));
    }
  }

  /// Waits for a leader with a valid lease and a term greater than \p after.
  /// Returns its term, or 0 on a timeout.
  std::uint64_t WaitForTerm(std::uint64_t after) {
    const auto deadline = std::chrono::steady_clock::now() + kTermTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
      for (int i = 0; i < kProcessCount; ++i) {
        auto reply_future = prober_.Send(LocalAddress(i).ToString(), "");
        if (reply_future.wait_for(1s) != std::future_status::ready)
          continue;
        const Reply reply = reply_future.get();
        if (reply && reply->current_leader() && reply->term() > after)
          return reply->term();
      }
      std::this_thread::sleep_for(20ms);
    }
    return 0;
  }

  TemporaryDir dir_;
  std::vector<std::unique_ptr<Control>> processes_;
  LogProber prober_;
};

// Guards against a leader that serves reads from a stale state because its
// lease did not expire while its instance was suspended.
TEST_CASE_METHOD(SuspensionFixture, "a lease does not outlive a suspension") {
  const std::uint64_t term = WaitForTerm(0);
  REQUIRE(term > 0);
  g_suspended_seconds = 10;
  CHECK(WaitForTerm(term) > term);
}

}  // namespace
}  // namespace yuccastair::control
