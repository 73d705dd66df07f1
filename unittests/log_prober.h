// Asks control processes for the state of their log.

#ifndef YUCCASTAIR_UNITTESTS_LOG_PROBER_H_
#define YUCCASTAIR_UNITTESTS_LOG_PROBER_H_

#include <cstdint>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "yuccastair/wire/transport.h"

namespace yuccastair {

using Reply = std::optional<wire::LogProbeReply>;

/// Sends probes to control processes and waits for the answers.
class LogProber {
 public:
  LogProber()
      : transport_({.listen = "", .curve = std::nullopt},
                   {.on_request = nullptr,
                    .on_answer =
                        [this](const std::string&, wire::Envelope envelope) {
                          Finish(
                              envelope.correlation(),
                              std::move(*envelope.mutable_log_probe_reply()));
                        },
                    .on_undelivered =
                        [this](const std::string&, const wire::Envelope& sent) {
                          Finish(sent.correlation(), std::nullopt);
                        },
                    .on_tick = nullptr}) {}

  std::future<Reply> Send(const std::string& address,
                          const std::string& payload) {
    wire::Envelope envelope;
    envelope.mutable_log_probe()->set_payload(payload);
    std::future<Reply> answer;
    {
      const std::lock_guard lock(mutex_);
      envelope.set_correlation(++last_);
      answer = waiting_[last_].get_future();
    }
    transport_.Send(address, std::move(envelope));
    return answer;
  }

 private:
  void Finish(std::uint64_t correlation, Reply reply) {
    const std::lock_guard lock(mutex_);
    const auto found = waiting_.find(correlation);
    if (found == waiting_.end())
      return;
    found->second.set_value(std::move(reply));
    waiting_.erase(found);
  }

  std::mutex mutex_;
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, std::promise<Reply>> waiting_;
  wire::Transport transport_;
};

}  // namespace yuccastair

#endif  // YUCCASTAIR_UNITTESTS_LOG_PROBER_H_
