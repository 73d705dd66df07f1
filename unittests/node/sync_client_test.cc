// Tests from which replies the sync client considers its state current.

#include "sync_client.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <memory>

#include "fake_control_process.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kLongWait{20};

/// Syncs until a number of replies have been received. Returns the time at
/// which the state was last known to be current.
support::TimePoint StateTimeAfter(int replies,
                                  const std::string& control,
                                  bool applied) {
  wire::PendingCalls pending;
  wire::Transport transport(
      {.listen = "", .curve = std::nullopt},
      {.on_request = nullptr,
       .on_answer =
           [&](const std::string&, wire::Envelope envelope) {
             const std::uint64_t correlation = envelope.correlation();
             pending.Complete(correlation, std::move(envelope));
           },
       .on_undelivered = nullptr,
       .on_tick = nullptr});
  std::mutex mutex;
  std::condition_variable changed;
  int replies_seen = 0;
  SyncClient client({.control_addresses = {control},
                     .node_id = "n1",
                     .interval = milliseconds(100),
                     .fill_request = [](wire::SyncRequest&) {},
                     .apply_reply =
                         [&](const wire::SyncReply&) {
                           std::lock_guard lock(mutex);
                           ++replies_seen;
                           changed.notify_all();
                           return applied;
                         }},
                    transport, pending);
  std::unique_lock lock(mutex);
  REQUIRE(changed.wait_for(lock, kLongWait,
                           [&] { return replies_seen >= replies; }));
  return client.current_as_of();
}

// Guards against a node that keeps accepting keys because of a reply that it
// could not apply.
TEST_CASE("a reply that cannot be applied does not count as current") {
  const FakeControlProcess control("127.0.0.1:26400", 0);
  CHECK(StateTimeAfter(3, "127.0.0.1:26400", false) == support::TimePoint());
}

TEST_CASE("the state is current as of the sending minus the reported age") {
  const FakeControlProcess control("127.0.0.1:26401", 60'000);
  const auto started = support::BootClock().Now();
  const auto state_time = StateTimeAfter(3, "127.0.0.1:26401", true);
  CHECK(state_time >= started - milliseconds(60'000));
  CHECK(state_time <= support::BootClock().Now() - milliseconds(60'000));
}

}  // namespace
}  // namespace yuccastair::node
