// The sync client: what counts as fresh.

#include "sync_client.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <memory>

#include "fake_control_process.h"

namespace yuccastair::node {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kLongWait{20};

/// Syncs until a number of replies have been applied; returns the freshness.
support::TimePoint FreshAfter(int replies,
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
  int seen = 0;
  SyncClient client({.controls = {control},
                     .node_id = "n1",
                     .interval = milliseconds(100),
                     .fill = [](wire::SyncRequest&) {},
                     .apply =
                         [&](const wire::SyncReply&) {
                           std::lock_guard lock(mutex);
                           ++seen;
                           changed.notify_all();
                           return applied;
                         }},
                    transport, pending);
  std::unique_lock lock(mutex);
  REQUIRE(changed.wait_for(lock, kLongWait, [&] { return seen >= replies; }));
  return client.fresh_at();
}

// Guards against a node that believes its keys on the word of a reply that it
// could not apply.
TEST_CASE("a reply that cannot be applied does not count as fresh") {
  const FakeControlProcess control("127.0.0.1:26400", 0);
  CHECK(FreshAfter(3, "127.0.0.1:26400", false) == support::TimePoint());
}

TEST_CASE("freshness is the time of sending less the reported age") {
  const FakeControlProcess control("127.0.0.1:26401", 60'000);
  const auto started = support::BootClock().Now();
  const auto fresh = FreshAfter(3, "127.0.0.1:26401", true);
  CHECK(fresh >= started - milliseconds(60'000));
  CHECK(fresh <= support::BootClock().Now() - milliseconds(60'000));
}

}  // namespace
}  // namespace yuccastair::node
