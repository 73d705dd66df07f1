// A fake control process that replies to syncs, for tests of its clients.

#ifndef YUCCASTAIR_UNITTESTS_CONTROL_STAND_IN_H_
#define YUCCASTAIR_UNITTESTS_CONTROL_STAND_IN_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "yuccastair/wire/transport.h"

namespace yuccastair {

/// Replies to each sync with a view of a given age and the given addresses of
/// control processes.
class ControlStandIn {
 public:
  ControlStandIn(const std::string& listen,
                 std::uint32_t age_ms,
                 std::vector<std::string> reported = {})
      : age_ms_(age_ms),
        reported_(std::move(reported)),
        transport_({.listen = listen, .curve = std::nullopt},
                   {.on_request =
                        [this](const wire::ReplyRoute& route,
                               const wire::Envelope& request) {
                          Answer(route, request);
                        },
                    .on_answer = nullptr,
                    .on_undelivered = nullptr,
                    .on_tick = nullptr}) {}

  /// Returns the number of syncs received.
  int asked() const { return asked_; }

 private:
  void Answer(const wire::ReplyRoute& route, const wire::Envelope& request) {
    ++asked_;
    wire::Envelope answer;
    answer.set_correlation(request.correlation());
    answer.mutable_sync_reply()->set_age_ms(age_ms_);
    for (const std::string& address : reported_)
      answer.mutable_sync_reply()->add_control_addresses(address);
    transport_.Reply(route, std::move(answer));
  }

  const std::uint32_t age_ms_;
  const std::vector<std::string> reported_;
  std::atomic<int> asked_ = 0;
  wire::Transport transport_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_CONTROL_STAND_IN_H_
