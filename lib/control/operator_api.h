// The operators' HTTP API of a control process.

#ifndef YUCCASTAIR_LIB_CONTROL_OPERATOR_API_H_
#define YUCCASTAIR_LIB_CONTROL_OPERATOR_API_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "query.h"
#include "settings_sync.h"
#include "yuccastair/consensus/state_machine.h"
#include "yuccastair/http/message.h"
#include "yuccastair/observe/event_log.h"
#include "yuccastair/observe/metrics.h"
#include "yuccastair/state/settings_machine.h"

namespace yuccastair::control {

/// Handles the requests of operators. Responses are JSON.
///
/// GET  /v1/status
/// GET  /v1/entries?prefix=
/// GET  /v1/effective?level=&name=
/// GET  /v1/history?since=&limit=
/// GET  /v1/diff?from=&to=
/// GET  /v1/events?since=
/// GET  /v1/metrics (Prometheus text)
/// POST /v1/plan     the effect of a change, without making it
/// POST /v1/changes  a change: 200 committed, 400 invalid, 409 conflict,
///                   504 uncertain, 307 or 503 at a process that is not the
///                   leader
///
/// HTTP threads post their work to the core thread and wait for it with a
/// timeout.
class OperatorApi {
 public:
  struct Options {
    std::string id;
    /// How long an HTTP thread waits for the core thread.
    std::chrono::milliseconds wait_limit{3000};
    /// Operator addresses of control processes by peer address.
    std::map<std::string, std::string> operator_addresses;
    /// Wall-clock time in ms since 1970, for the history.
    std::function<std::int64_t()> wall_clock_ms;
    /// Adds fields to the response of /v1/status; called on the core thread.
    /// May be empty.
    std::function<void(nlohmann::json&)> add_status;
    /// Events of this process; may be null.
    observe::EventLog* events = nullptr;
    /// May be null.
    observe::Metrics* metrics = nullptr;
  };

  /// State that the core thread owns.
  struct Core {
    consensus::ReplicatedLog& log;
    const state::SettingsMachine& settings;
    const SettingsSync& sync;
  };

  /// Posts a task to the core thread; returns false if its queue is full.
  using Post = std::function<bool(std::function<void()>)>;

  OperatorApi(Options options, Core core, Post post);

  /// Safe to call from any thread but the core thread.
  http::Response Handle(const http::Request& request);

  /// Returns the response to a request that the HTTP server rejected itself.
  static http::Response Refuse(int status);

 private:
  struct Waiter;
  using Answer = std::function<void(http::Response)>;

  http::Response RunOnCore(std::function<void(const Answer&)> task);
  http::Response Read(const std::string& path, const Query& query);
  http::Response Change(const http::Request& request, bool plan);
  void Propose(const wire::SettingsChange& change, const Answer& answer);
  http::Response NotLeader() const;
  nlohmann::json Events(const Query& query) const;

  // These run on the core thread.
  nlohmann::json Status() const;
  nlohmann::json Entries(const std::string& prefix) const;
  http::Response Effective(const Query& query) const;
  nlohmann::json History(const Query& query) const;
  http::Response Diff(const Query& query) const;

  const Options options_;
  const Core core_;
  const Post post_;
  // The last version recorded as an event, so that a resent change and a change
  // without effect add no event. Used on the core thread.
  std::uint64_t recorded_version_ = 0;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_OPERATOR_API_H_
