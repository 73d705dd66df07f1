// The proxy of a target that the test plays.

#ifndef YUCCASTAIR_UNITTESTS_RELAY_PROXY_FIXTURE_H_
#define YUCCASTAIR_UNITTESTS_RELAY_PROXY_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "scripted_target.h"
#include "target_proxy.h"
#include "yuccastair/observe/metrics.h"

namespace yuccastair::relay {

class ProxyFixture {
 protected:
  void Announce(const ScriptedTarget& target, std::uint32_t slots = 10) {
    Announcement announcement;
    announcement.target_id = "t1";
    announcement.sequence = ++sequence_;
    announcement.service = "s";
    announcement.address = target.address();
    announcement.slots = slots;
    proxy_.OnAnnouncement(announcement);
  }

  static void Fill(RelayCall& call, const std::string& id) {
    call.request_id = id;
    call.head.method(stream::http::verb::get);
    call.head.target("/a/x?q");
    call.head.set("Host", "h.example");
    call.service = "s";
    call.organisation = "org";
    call.caller_service = "from";
    call.idempotent = true;
    call.deadline = support::SteadyClock().Now() + std::chrono::seconds(2);
    call.queue_deadline = call.deadline;
  }

  CallResult Run(RelayCall& call) {
    CallResult result;
    bool done = false;
    // A context that ran out of work has stopped.
    context_.restart();
    stream::asio::co_spawn(
        context_,
        [&]() -> stream::Task<void> {
          result = co_await proxy_.Run(call);
          done = true;
        },
        stream::asio::detached);
    while (!done)
      context_.run_one();
    return result;
  }

  CallResult Run(const std::string& id) {
    RelayCall call;
    Fill(call, id);
    return Run(call);
  }

  stream::asio::io_context context_;
  support::SteadyClock clock_;
  HeaderNames names_;
  observe::Metrics metrics_;
  TargetProxy proxy_{context_, clock_, names_, std::chrono::milliseconds(2000),
                     metrics_};
  std::uint64_t sequence_ = 0;
};

}  // namespace yuccastair::relay

#endif  // YUCCASTAIR_UNITTESTS_RELAY_PROXY_FIXTURE_H_
