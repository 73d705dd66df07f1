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

#include "query_parameters.h"
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
/// GET  /v1/suspects  requests that have ended targets
/// POST /v1/suspects/clear  lets one of them through again; answered as a
/// change POST /v1/plan     the effect of a change, without making it POST
/// /v1/changes  a change: 200 committed, 400 invalid, 409 conflict,
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
    std::chrono::milliseconds core_timeout{3000};
    /// Operator addresses of control processes by peer address.
    std::map<std::string, std::string> operator_addresses;
    /// Wall-clock time in ms since 1970, for the history.
    std::function<std::int64_t()> wall_clock_ms;
    /// Adds fields to the response of /v1/status; called on the core thread.
    /// May be empty.
    std::function<void(nlohmann::json&)> add_status;
    /// Events of this process; may be null.
    observe::EventLog* event_log = nullptr;
    /// May be null.
    observe::Metrics* metrics = nullptr;
    /// Lists the requests that have ended targets. Called on the core thread;
    /// may be empty, as the next one.
    std::function<nlohmann::json()> list_suspects;
    /// Proposes that a request be let through again, by its fingerprint. Called
    /// on the core thread.
    std::function<void(const std::string& fingerprint,
                       const consensus::ReplicatedLog::ProposeCallback& done)>
        clear_suspect;
  };

  /// State that the core thread owns.
  struct CoreState {
    consensus::ReplicatedLog& log;
    const state::SettingsMachine& settings;
    const SettingsSync& sync;
  };

  /// Posts a task to the core thread; returns false if its queue is full.
  using PostTask = std::function<bool(std::function<void()>)>;

  OperatorApi(Options options, CoreState core, PostTask post_task);

  /// Safe to call from any thread but the core thread.
  http::Response Handle(const http::Request& request);

  /// Returns the response to a request that the HTTP server rejected itself.
  static http::Response MakeRejection(int status);

 private:
  struct PendingResponse;
  using ResponseCallback = std::function<void(http::Response)>;

  http::Response RunOnCoreThread(
      std::function<void(const ResponseCallback&)> task);
  http::Response HandleGet(const std::string& path,
                           const QueryParameters& query);
  http::Response HandleChange(const http::Request& request, bool plan);
  http::Response HandleClear(const http::Request& request);
  void ProposeChange(const wire::SettingsChange& change,
                     const ResponseCallback& respond);
  /// \p path is that of the request.
  http::Response NotLeaderResponse(const std::string& path) const;
  nlohmann::json ListEvents(const QueryParameters& query) const;

  // These run on the core thread.
  nlohmann::json GetStatus() const;
  nlohmann::json ListEntries(const std::string& prefix) const;
  http::Response GetEffectiveValues(const QueryParameters& query) const;
  nlohmann::json ListHistory(const QueryParameters& query) const;
  http::Response GetDiff(const QueryParameters& query) const;

  const Options options_;
  const CoreState core_;
  const PostTask post_task_;
  // The last version recorded as an event, so that a resent change and a change
  // without effect add no event. Used on the core thread.
  std::uint64_t last_recorded_version_ = 0;
};

}  // namespace yuccastair::control

#endif  // YUCCASTAIR_LIB_CONTROL_OPERATOR_API_H_
