// A fake control process that replies to syncs, for tests of its clients.

#ifndef YUCCASTAIR_UNITTESTS_FAKE_CONTROL_PROCESS_H_
#define YUCCASTAIR_UNITTESTS_FAKE_CONTROL_PROCESS_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "yuccastair/wire/transport.h"

namespace yuccastair {

/// Replies to each sync with a view of a given age and the given addresses and
/// zones of control processes.
class FakeControlProcess {
 public:
  FakeControlProcess(const std::string& listen,
                     std::uint32_t age_ms,
                     std::vector<std::string> control_addresses = {},
                     std::vector<std::string> control_zones = {})
      : age_ms_(age_ms),
        control_addresses_(std::move(control_addresses)),
        control_zones_(std::move(control_zones)),
        transport_({.listen = listen, .curve = std::nullopt},
                   {.on_request =
                        [this](const wire::ReplyRoute& route,
                               const wire::Envelope& request) {
                          SendReply(route, request);
                        },
                    .on_answer = nullptr,
                    .on_undelivered = nullptr,
                    .on_tick = nullptr}) {}

  /// Returns the number of syncs received.
  int sync_count() const { return sync_count_; }

 private:
  void SendReply(const wire::ReplyRoute& route, const wire::Envelope& request) {
    ++sync_count_;
    wire::Envelope reply;
    reply.set_correlation(request.correlation());
    reply.mutable_sync_reply()->set_age_ms(age_ms_);
    for (const std::string& address : control_addresses_)
      reply.mutable_sync_reply()->add_control_addresses(address);
    for (const std::string& zone : control_zones_)
      reply.mutable_sync_reply()->add_control_zones(zone);
    transport_.Reply(route, std::move(reply));
  }

  const std::uint32_t age_ms_;
  const std::vector<std::string> control_addresses_;
  const std::vector<std::string> control_zones_;
  std::atomic<int> sync_count_ = 0;
  wire::Transport transport_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_FAKE_CONTROL_PROCESS_H_
