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

namespace yuccastair::control {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kDefaultHistoryLimit = 20;
constexpr std::uint64_t kMaxHistoryLimit = 1000;

http::Response JsonResponse(int status, const Json& body) {
  http::Response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return response;
}

http::Response Failure(int status,
                       const std::string& outcome,
                       const std::string& reason) {
  return JsonResponse(status, {{"outcome", outcome}, {"reason", reason}});
}

http::Response Uncertain() {
  return Failure(504, "uncertain",
                 "the change may have been committed or not; send it again "
                 "with the same operation_id");
}

http::Response InvalidChange(const std::vector<std::string>& faults) {
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
struct OperatorApi::Waiter {
  enum class Phase { kQueued, kStarted, kGivenUp };

  std::mutex mutex;
  Phase phase = Phase::kQueued;
  std::promise<http::Response> response;
  bool answered = false;

  /// Marks the task as started. Returns false if the HTTP thread no longer
  /// waits, so that the task must not run.
  bool Start() {
    std::lock_guard lock(mutex);
    if (phase != Phase::kQueued)
      return false;
    phase = Phase::kStarted;
    return true;
  }

  /// Abandons a task that has not started, so that it never runs. Returns false
  /// if it has started.
  bool GiveUp() {
    std::lock_guard lock(mutex);
    if (phase != Phase::kQueued)
      return false;
    phase = Phase::kGivenUp;
    return true;
  }

  void Answer(http::Response given) {
    std::lock_guard lock(mutex);
    if (!answered)
      response.set_value(std::move(given));
    answered = true;
  }
};

OperatorApi::OperatorApi(Options options, Core core, Post post)
    : options_(std::move(options)), core_(core), post_(std::move(post)) {}

http::Response OperatorApi::Refuse(int status) {
  return Failure(status, "unavailable",
                 status == 413 ? "the body is too large"
                               : "too many operator requests at once");
}

http::Response OperatorApi::Handle(const http::Request& request) {
  const std::size_t question = request.path.find('?');
  const std::string path = request.path.substr(0, question);
  if (request.method == "GET")
    return Read(
        path, Query(question == std::string::npos
                        ? std::string_view()
                        : std::string_view(request.path).substr(question + 1)));
  if (request.method == "POST" && (path == "/v1/changes" || path == "/v1/plan"))
    return Change(request, path == "/v1/plan");
  return Failure(
      404, "invalid",
      "no such resource: " + request.method + " " + path.substr(0, 64));
}

http::Response OperatorApi::RunOnCore(std::function<void(const Answer&)> task) {
  auto waiter = std::make_shared<Waiter>();
  auto response = waiter->response.get_future();
  const bool posted = post_([waiter, task = std::move(task)] {
    if (waiter->Start())
      task(
          [waiter](http::Response given) { waiter->Answer(std::move(given)); });
  });
  if (!posted)
    return Failure(503, "unavailable",
                   "the control process is overloaded; nothing was done");
  if (response.wait_for(options_.wait_limit) == std::future_status::ready)
    return response.get();
  if (waiter->GiveUp())
    return Failure(503, "unavailable",
                   "the control process is overloaded; nothing was done");
  return Uncertain();
}

http::Response OperatorApi::Read(const std::string& path, const Query& query) {
  // The event log and the metrics are safe to read on any thread.
  if (path == "/v1/events")
    return JsonResponse(200, Events(query));
  if (path == "/v1/metrics" && options_.metrics != nullptr) {
    http::Response response;
    response.status = 200;
    response.body = options_.metrics->ToPrometheusText();
    return response;
  }
  return RunOnCore([this, path, query](const Answer& answer) {
    if (path == "/v1/status")
      answer(JsonResponse(200, Status()));
    else if (path == "/v1/entries")
      answer(JsonResponse(200, Entries(query.Text("prefix"))));
    else if (path == "/v1/effective")
      answer(Effective(query));
    else if (path == "/v1/history")
      answer(JsonResponse(200, History(query)));
    else if (path == "/v1/diff")
      answer(Diff(query));
    else
      answer(
          Failure(404, "invalid", "no such resource: " + path.substr(0, 64)));
  });
}

http::Response OperatorApi::Change(const http::Request& request, bool plan) {
  const Json body =
      Json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  std::vector<std::string> faults;
  if (body.is_discarded()) {
    faults.emplace_back("the body is not JSON");
    return InvalidChange(faults);
  }
  wire::SettingsChange change = state::ChangeFromJson(body, faults);
  if (!faults.empty())
    return InvalidChange(faults);
  change.set_at_ms(options_.wall_clock_ms());
  return RunOnCore(
      [this, change = std::move(change), plan](const Answer& answer) {
        if (plan)
          answer(ToResponse(core_.settings.Check(change)));
        else
          Propose(change, answer);
      });
}

void OperatorApi::Propose(const wire::SettingsChange& change,
                          const Answer& answer) {
  if (!core_.log.IsCurrentLeader()) {
    answer(NotLeader());
    return;
  }
  core_.log.Propose(
      state::EncodeCommand(wire::TABLE_SETTINGS, change.SerializeAsString()),
      [this, answer, author = change.author(),
       operation_id =
           change.operation_id()](const consensus::ProposeOutcome& outcome) {
        wire::SettingsResult result;
        switch (outcome.status) {
          case consensus::ProposeStatus::kNotLeader:
            answer(NotLeader());
            return;
          case consensus::ProposeStatus::kUncertain:
            answer(Uncertain());
            return;
          case consensus::ProposeStatus::kCommitted:
            if (!result.ParseFromString(outcome.result)) {
              answer(Uncertain());
              return;
            }
            if (options_.events &&
                result.outcome() == wire::CHANGE_OUTCOME_COMMITTED &&
                result.version() > recorded_version_) {
              recorded_version_ = result.version();
              options_.events->Record("settings.committed",
                                      "a change of an operator",
                                      {{"version", result.version()},
                                       {"author", author},
                                       {"operation_id", operation_id}});
            }
            answer(ToResponse(result));
        }
      });
}

http::Response OperatorApi::NotLeader() const {
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
  response.headers.push_back(
      {"Location", "http://" + address->second + "/v1/changes"});
  return response;
}

Json OperatorApi::Status() const {
  Json status = {{"id", options_.id},
                 {"leader", core_.log.IsCurrentLeader()},
                 {"leader_address", core_.log.LeaderAddress()},
                 {"settings_version", core_.settings.version()},
                 {"entries", core_.settings.tree().entries().size()},
                 {"age_ms", core_.sync.Age().count()}};
  if (options_.add_status)
    options_.add_status(status);
  return status;
}

Json OperatorApi::Entries(const std::string& prefix) const {
  const auto& entries = core_.settings.tree().entries();
  Json list = Json::array();
  for (auto entry = entries.lower_bound(prefix);
       entry != entries.end() && entry->first.rfind(prefix, 0) == 0; ++entry)
    list.push_back(state::EntryToJson(entry->second));
  return {{"version", core_.settings.version()},
          {"age_ms", core_.sync.Age().count()},
          {"entries", std::move(list)}};
}

http::Response OperatorApi::Effective(const Query& query) const {
  const auto level = state::ParseLevel(query.Text("level"));
  if (!level)
    return Failure(400, "invalid",
                   "level must be fleet, deployment, service or route");
  const std::string name = query.Text("name");
  const state::SettingsTree& tree = core_.settings.tree();
  if (*level == wire::SETTINGS_LEVEL_ROUTE && !tree.Find("route/" + name))
    return Failure(404, "invalid", "route " + name + " does not exist");
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

Json OperatorApi::Events(const Query& query) const {
  Json list = Json::array();
  if (options_.events) {
    for (const observe::Event& event :
         options_.events->Since(query.Number("since").value_or(0)))
      list.push_back(observe::ToJson(event));
  }
  return {{"id", options_.id}, {"events", std::move(list)}};
}

Json OperatorApi::History(const Query& query) const {
  const std::uint64_t limit = std::min(
      query.Number("limit").value_or(kDefaultHistoryLimit), kMaxHistoryLimit);
  const std::uint64_t since = query.Number("since").value_or(0);
  const auto& history = core_.settings.history();
  Json list = Json::array();
  for (auto record = history.rbegin();
       record != history.rend() && record->version() > since &&
       list.size() < limit;
       ++record)
    list.push_back(state::RecordToJson(*record));
  return {{"version", core_.settings.version()}, {"changes", std::move(list)}};
}

http::Response OperatorApi::Diff(const Query& query) const {
  const auto from = query.Number("from");
  const std::uint64_t to =
      query.Number("to").value_or(core_.settings.version());
  if (!from)
    return Failure(400, "invalid", "from must be a version");
  const auto changes = core_.settings.Diff(*from, to);
  if (!changes)
    return Failure(404, "invalid",
                   "the history does not hold versions " +
                       std::to_string(*from) + " to " + std::to_string(to));
  return JsonResponse(200, {{"from", *from},
                            {"to", to},
                            {"changes", state::ChangesToJson(*changes)}});
}

}  // namespace yuccastair::control
