// Passes the requests of operators to the core thread and responds to them.

#include "operator_api.h"

#include <algorithm>
#include <future>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "yuccastair/state/json.h"
#include "yuccastair/state/table_dispatcher.h"
#include "yuccastair/support/hex.h"

namespace yuccastair::control {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kDefaultHistoryLimit = 20;
constexpr std::uint64_t kMaxHistoryLimit = 1000;
constexpr const char* kClearPath = "/v1/suspects/clear";

http::Response JsonResponse(int status, const Json& body) {
  http::Response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return response;
}

http::Response ErrorResponse(int status,
                             const std::string& outcome,
                             const std::string& reason) {
  return JsonResponse(status, {{"outcome", outcome}, {"reason", reason}});
}

http::Response UncertainResponse() {
  return ErrorResponse(
      504, "uncertain",
      "the change may have been committed or not; send it again "
      "with the same operation_id");
}

http::Response InvalidChangeResponse(const std::vector<std::string>& faults) {
  return JsonResponse(400, {{"outcome", "invalid"}, {"faults", faults}});
}

http::Response ToResponse(const wire::SettingsResult& result) {
  Json body = {{"version", result.version()}};
  switch (result.outcome()) {
    case wire::CHANGE_OUTCOME_COMMITTED:
      body["outcome"] = "committed";
      if (result.changes_size() > 0)
        body["changes"] = state::ChangesToJson(result.changes());
      return JsonResponse(200, body);
    case wire::CHANGE_OUTCOME_CONFLICT:
      body["outcome"] = "conflict";
      body["faults"] = result.faults();
      body["changed_since"] = Json::array();
      for (const wire::ChangeRecord& record : result.changed_since())
        body["changed_since"].push_back(state::RecordToJson(record));
      body["changes_left_out"] = result.changes_left_out();
      return JsonResponse(409, body);
    default:
      body["outcome"] = "invalid";
      body["faults"] = result.faults();
      return JsonResponse(400, body);
  }
}

}  // namespace

/// The response that an HTTP thread awaits from the core thread.
struct OperatorApi::PendingResponse {
  enum class Phase { kQueued, kStarted, kAbandoned };

  std::mutex mutex;
  Phase phase = Phase::kQueued;
  std::promise<http::Response> response;
  bool has_response = false;

  /// Marks the task as started. Returns false if the HTTP thread no longer
  /// waits, so that the task must not run.
  bool TryStart() {
    std::lock_guard lock(mutex);
    if (phase != Phase::kQueued)
      return false;
    phase = Phase::kStarted;
    return true;
  }

  /// Abandons a task that has not started, so that it never runs. Returns false
  /// if it has started.
  bool TryAbandon() {
    std::lock_guard lock(mutex);
    if (phase != Phase::kQueued)
      return false;
    phase = Phase::kAbandoned;
    return true;
  }

  void SetResponse(http::Response value) {
    std::lock_guard lock(mutex);
    if (!has_response)
      response.set_value(std::move(value));
    has_response = true;
  }
};

OperatorApi::OperatorApi(Options options, CoreState core, PostTask post_task)
    : options_(std::move(options)),
      core_(core),
      post_task_(std::move(post_task)) {}

http::Response OperatorApi::MakeRejection(int status) {
  return ErrorResponse(status, "unavailable",
                       status == 413 ? "the body is too large"
                                     : "too many operator requests at once");
}

http::Response OperatorApi::Handle(const http::Request& request) {
  const std::size_t query_start = request.path.find('?');
  const std::string path = request.path.substr(0, query_start);
  if (request.method == "GET")
    return HandleGet(
        path,
        QueryParameters(
            query_start == std::string::npos
                ? std::string_view()
                : std::string_view(request.path).substr(query_start + 1)));
  if (request.method == "POST" && (path == "/v1/changes" || path == "/v1/plan"))
    return HandleChange(request, path == "/v1/plan");
  if (request.method == "POST" && path == kClearPath && options_.clear_suspect)
    return HandleClear(request);
  return ErrorResponse(
      404, "invalid",
      "no such resource: " + request.method + " " + path.substr(0, 64));
}

http::Response OperatorApi::RunOnCoreThread(
    std::function<void(const ResponseCallback&)> task) {
  auto pending = std::make_shared<PendingResponse>();
  auto response = pending->response.get_future();
  const bool posted = post_task_([pending, task = std::move(task)] {
    if (pending->TryStart())
      task([pending](http::Response value) {
        pending->SetResponse(std::move(value));
      });
  });
  if (!posted)
    return ErrorResponse(503, "unavailable",
                         "the control process is overloaded; nothing was done");
  if (response.wait_for(options_.core_timeout) == std::future_status::ready)
    return response.get();
  if (pending->TryAbandon())
    return ErrorResponse(503, "unavailable",
                         "the control process is overloaded; nothing was done");
  return UncertainResponse();
}

http::Response OperatorApi::HandleGet(const std::string& path,
                                      const QueryParameters& query) {
  // The event log and the metrics are safe to read on any thread.
  if (path == "/v1/events")
    return JsonResponse(200, ListEvents(query));
  if (path == "/v1/metrics" && options_.metrics != nullptr) {
    http::Response response;
    response.status = 200;
    response.body = options_.metrics->ToPrometheusText();
    return response;
  }
  return RunOnCoreThread([this, path, query](const ResponseCallback& respond) {
    if (path == "/v1/status")
      respond(JsonResponse(200, GetStatus()));
    else if (path == "/v1/entries")
      respond(JsonResponse(200, ListEntries(query.GetText("prefix"))));
    else if (path == "/v1/effective")
      respond(GetEffectiveValues(query));
    else if (path == "/v1/suspects" && options_.list_suspects)
      respond(JsonResponse(200, {{"suspects", options_.list_suspects()}}));
    else if (path == "/v1/history")
      respond(JsonResponse(200, ListHistory(query)));
    else if (path == "/v1/diff")
      respond(GetDiff(query));
    else
      respond(ErrorResponse(404, "invalid",
                            "no such resource: " + path.substr(0, 64)));
  });
}

http::Response OperatorApi::HandleChange(const http::Request& request,
                                         bool plan) {
  const Json body =
      Json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  std::vector<std::string> faults;
  if (body.is_discarded()) {
    faults.emplace_back("the body is not JSON");
    return InvalidChangeResponse(faults);
  }
  wire::SettingsChange change = state::ChangeFromJson(body, faults);
  if (!faults.empty())
    return InvalidChangeResponse(faults);
  change.set_at_ms(options_.wall_clock_ms());
  return RunOnCoreThread([this, change = std::move(change),
                          plan](const ResponseCallback& respond) {
    if (plan)
      respond(ToResponse(core_.settings.Check(change)));
    else
      ProposeChange(change, respond);
  });
}

http::Response OperatorApi::HandleClear(const http::Request& request) {
  const Json body =
      Json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  const bool is_text = body.is_object() && body.contains("fingerprint") &&
                       body["fingerprint"].is_string();
  const auto fingerprint =
      is_text ? support::FromHex(body["fingerprint"].get<std::string>())
              : std::nullopt;
  if (!fingerprint || fingerprint->empty())
    return InvalidChangeResponse({"fingerprint must be hexadecimal digits"});
  return RunOnCoreThread([this, fingerprint = *fingerprint](
                             const ResponseCallback& respond) {
    if (!core_.log.IsCurrentLeader()) {
      respond(NotLeaderResponse(kClearPath));
      return;
    }
    options_.clear_suspect(
        fingerprint,
        [this, respond, fingerprint](const consensus::ProposeOutcome& outcome) {
          switch (outcome.status) {
            case consensus::ProposeStatus::kNotLeader:
              respond(NotLeaderResponse(kClearPath));
              return;
            case consensus::ProposeStatus::kUncertain:
              respond(UncertainResponse());
              return;
            case consensus::ProposeStatus::kCommitted:
              if (options_.event_log)
                options_.event_log->Record(
                    "request.cleared", "an order of an operator",
                    {{"fingerprint", support::ToHex(fingerprint)}});
              respond(JsonResponse(200, {{"outcome", "committed"}}));
          }
        });
  });
}

void OperatorApi::ProposeChange(const wire::SettingsChange& change,
                                const ResponseCallback& respond) {
  if (!core_.log.IsCurrentLeader()) {
    respond(NotLeaderResponse("/v1/changes"));
    return;
  }
  core_.log.Propose(
      state::EncodeCommand(wire::TABLE_SETTINGS, change.SerializeAsString()),
      [this, respond, author = change.author(),
       operation_id =
           change.operation_id()](const consensus::ProposeOutcome& outcome) {
        wire::SettingsResult result;
        switch (outcome.status) {
          case consensus::ProposeStatus::kNotLeader:
            respond(NotLeaderResponse("/v1/changes"));
            return;
          case consensus::ProposeStatus::kUncertain:
            respond(UncertainResponse());
            return;
          case consensus::ProposeStatus::kCommitted:
            if (!result.ParseFromString(outcome.result)) {
              respond(UncertainResponse());
              return;
            }
            if (options_.event_log &&
                result.outcome() == wire::CHANGE_OUTCOME_COMMITTED &&
                result.version() > last_recorded_version_) {
              last_recorded_version_ = result.version();
              options_.event_log->Record("settings.committed",
                                         "a change of an operator",
                                         {{"version", result.version()},
                                          {"author", author},
                                          {"operation_id", operation_id}});
            }
            respond(ToResponse(result));
        }
      });
}

http::Response OperatorApi::NotLeaderResponse(const std::string& path) const {
  const std::string leader = core_.log.LeaderAddress();
  Json body = {
      {"outcome", "not_leader"},
      {"reason", leader.empty() ? "no leader is known at present"
                                : "this control process is not the leader"},
      {"leader", leader}};
  const auto address = options_.operator_addresses.find(leader);
  if (leader.empty() || address == options_.operator_addresses.end())
    return JsonResponse(503, body);
  body["leader_operator_address"] = address->second;
  http::Response response = JsonResponse(307, body);
  response.headers.push_back({"Location", "http://" + address->second + path});
  return response;
}

Json OperatorApi::GetStatus() const {
  Json status = {{"id", options_.id},
                 {"leader", core_.log.IsCurrentLeader()},
                 {"leader_address", core_.log.LeaderAddress()},
                 {"settings_version", core_.settings.version()},
                 {"entries", core_.settings.tree().entries().size()},
                 {"age_ms", core_.sync.StateAge().count()}};
  if (options_.add_status)
    options_.add_status(status);
  return status;
}

Json OperatorApi::ListEntries(const std::string& prefix) const {
  const auto& entries = core_.settings.tree().entries();
  Json list = Json::array();
  for (auto entry = entries.lower_bound(prefix);
       entry != entries.end() && entry->first.rfind(prefix, 0) == 0; ++entry)
    list.push_back(state::EntryToJson(entry->second));
  return {{"version", core_.settings.version()},
          {"age_ms", core_.sync.StateAge().count()},
          {"entries", std::move(list)}};
}

http::Response OperatorApi::GetEffectiveValues(
    const QueryParameters& query) const {
  const auto level = state::ParseLevel(query.GetText("level"));
  if (!level)
    return ErrorResponse(400, "invalid",
                         "level must be fleet, deployment, service or route");
  const std::string name = query.GetText("name");
  const state::SettingsTree& tree = core_.settings.tree();
  if (*level == wire::SETTINGS_LEVEL_ROUTE && !tree.Find("route/" + name))
    return ErrorResponse(404, "invalid", "route " + name + " does not exist");
  const state::Scope scope = tree.ScopeOf(*level, name);
  Json values = Json::array();
  for (const state::SettingKey& key : state::SettingKeys()) {
    const state::EffectiveValue effective = tree.Effective(key, scope);
    values.push_back({{"key", key.name},
                      {"value", state::FormatSetting(key, effective.value)},
                      {"unit", key.unit},
                      {"source", effective.source}});
  }
  return JsonResponse(200, {{"version", core_.settings.version()},
                            {"values", std::move(values)}});
}

Json OperatorApi::ListEvents(const QueryParameters& query) const {
  Json list = Json::array();
  if (options_.event_log) {
    for (const observe::Event& event :
         options_.event_log->Since(query.GetNumber("since").value_or(0)))
      list.push_back(observe::ToJson(event));
  }
  return {{"id", options_.id}, {"events", std::move(list)}};
}

Json OperatorApi::ListHistory(const QueryParameters& query) const {
  const std::uint64_t limit =
      std::min(query.GetNumber("limit").value_or(kDefaultHistoryLimit),
               kMaxHistoryLimit);
  const std::uint64_t since = query.GetNumber("since").value_or(0);
  const auto& history = core_.settings.history();
  Json list = Json::array();
  for (auto record = history.rbegin();
       record != history.rend() && record->version() > since &&
       list.size() < limit;
       ++record)
    list.push_back(state::RecordToJson(*record));
  return {{"version", core_.settings.version()}, {"changes", std::move(list)}};
}

http::Response OperatorApi::GetDiff(const QueryParameters& query) const {
  const auto from = query.GetNumber("from");
  const std::uint64_t to =
      query.GetNumber("to").value_or(core_.settings.version());
  if (!from)
    return ErrorResponse(400, "invalid", "from must be a version");
  const auto changes = core_.settings.Diff(*from, to);
  if (!changes)
    return ErrorResponse(404, "invalid",
                         "the history does not hold versions " +
                             std::to_string(*from) + " to " +
                             std::to_string(to));
  return JsonResponse(200, {{"from", *from},
                            {"to", to},
                            {"changes", state::ChangesToJson(*changes)}});
}

}  // namespace yuccastair::control
