// Responds to callers and records the outcomes of their requests.

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "call_exchange.h"
#include "request_handler.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

namespace http = stream::http;
using std::chrono::milliseconds;
using stream::Task;

// Maximum of the random retry time of rejected callers.
constexpr milliseconds kMaxRetryAfter{1000};
// Callers wait at most a third of their remaining time; the retry time stays
// below that.
constexpr int kMaxRetryAfterDivisor = 3;
constexpr int kRetryAfterDivisor = 4;
// Callers of a service without targets come back once, so they are told to do
// so as late as a response still meets the objective: within these percentages
// of it.
constexpr int kMinMissingServiceWaitPercent = 60;
constexpr int kMaxMissingServiceWaitPercent = 80;
// A stopped relay is not back earlier than this.
constexpr milliseconds kMinRestartTime{750};

nlohmann::json ToJson(const std::vector<AttemptRecord>& attempts) {
  nlohmann::json list = nlohmann::json::array();
  for (const AttemptRecord& attempt : attempts)
    list.push_back({{"target", attempt.target},
                    {"load", std::lround(attempt.load)},
                    {"limit", std::lround(attempt.limit)},
                    {"ms", attempt.duration.count()},
                    {"result", attempt.result}});
  return list;
}

nlohmann::json ToJson(const std::vector<routing::ExcludedMember>& excluded) {
  nlohmann::json members = nlohmann::json::object();
  for (const routing::ExcludedMember& member : excluded)
    members[member.node_id] = member.reason;
  return members;
}

/// Formats a time in seconds with three decimals, as used in Retry-After.
std::string ToSeconds(milliseconds time) {
  const std::string fraction = std::to_string(1000 + time.count() % 1000);
  return std::to_string(time.count() / 1000) + "." + fraction.substr(1);
}

}  // namespace

Task<void> RequestHandler::Respond(stream::ServerExchange& exchange,
                                   Request& request,
                                   CallResult result) {
  request.worst_call_outcome = result.worst_call_outcome;
  request.missing_service = result.missing_service;
  if (result.load && result.load->queued() > 0)
    request.worst_call_outcome =
        std::max(request.worst_call_outcome,
                 admission::DownstreamOutcome::kServedAtCapacity);
  request.rejected_for_capacity = result.outcome == wire::OUTCOME_NOT_RUN &&
                                  request.reached_targets == 0 &&
                                  !result.peer_failed;
  if (request.call.cancellation.requested()) {
    if (result.on_body_end)
      result.on_body_end(false);
    exchange.Abort();
    RecordOutcome(request, 0, "the caller has left");
    co_return;
  }
  if (result.outcome == wire::OUTCOME_OK) {
    const unsigned status = result.head.result_int();
    const bool whole = co_await DeliverResponse(exchange, result);
    RecordOutcome(
        request, whole ? status : 0,
        whole ? "" : "the response could not be delivered completely");
    co_return;
  }
  co_await Reject(exchange, request, RejectionFor(request, result));
}

RequestHandler::Rejection RequestHandler::RefusalOfStoppingRelay(
    const Request& request) const {
  const milliseconds left =
      RemainingTime(request.call.deadline, deps_.clock.Now());
  const milliseconds spread(support::RandomBelow(
      static_cast<std::uint32_t>(kMinRestartTime.count())));
  return {503, kRelayIsStopping,
          std::min(kMinRestartTime + spread, left / kMaxRetryAfterDivisor)};
}

/// Returns the time after which a rejected caller should retry. It is random
/// within a fraction of the caller's remaining time, so that callers that are
/// rejected together do not retry together.
milliseconds RequestHandler::RandomRetryAfter(const Request& request) const {
  const milliseconds left =
      RemainingTime(request.call.deadline, deps_.clock.Now());
  const milliseconds longest =
      std::clamp(left / kRetryAfterDivisor, kMinRetryAfter, kMaxRetryAfter);
  const milliseconds shortest = std::max(kMinRetryAfter, longest / 3);
  const auto spread =
      static_cast<std::uint32_t>((longest - shortest).count() + 1);
  return shortest + milliseconds(support::RandomBelow(spread));
}

milliseconds RequestHandler::RetryAfterMissingService(
    const Request& request) const {
  const milliseconds left =
      RemainingTime(request.call.deadline, deps_.clock.Now());
  const milliseconds objective(request.route->objective_ms());
  const int percent =
      kMinMissingServiceWaitPercent +
      static_cast<int>(support::RandomBelow(kMaxMissingServiceWaitPercent -
                                            kMinMissingServiceWaitPercent + 1));
  return std::clamp(objective * percent / 100, kMinRetryAfter,
                    std::max(kMinRetryAfter, left / kMaxRetryAfterDivisor));
}

RequestHandler::Rejection RequestHandler::RejectionFor(
    const Request& request,
    const CallResult& result) const {
  const support::TimePoint now = deps_.clock.Now();
  const milliseconds left = RemainingTime(request.call.deadline, now);
  if (!request.may_have_run) {
    if (request.call.cancellation.wait_ended())
      return RefusalOfStoppingRelay(request);
    return {503, result.reason,
            result.missing_service.empty() ? RandomRetryAfter(request)
                                           : RetryAfterMissingService(request)};
  }
  return {left.count() == 0 ? 504U : 502U, result.reason};
}

Task<void> RequestHandler::Reject(stream::ServerExchange& exchange,
                                  const Request& request,
                                  const Rejection& rejection) {
  http::header<false> head = MakeResponseHead(rejection.status);
  head.set(deps_.names.request_id, request.call.request_id);
  if (rejection.status == 503 || rejection.status == 429)
    head.set(http::field::retry_after,
             ToSeconds(std::max(rejection.retry_after, kMinRetryAfter)));
  RecordOutcome(request, rejection.status, rejection.reason);
  co_await exchange.RespondText(std::move(head), rejection.reason + "\n");
}

/// Returns what the rejection of \p request says about the load of its service.
admission::DownstreamOutcome RequestHandler::RejectionOf(
    const Request& request) {
  using admission::DownstreamOutcome;
  if (request.rejected_for_capacity)
    return DownstreamOutcome::kNoCapacity;
  const bool all_had_free_slots =
      request.reached_targets > 0 &&
      request.rejecting_targets_with_free_slots == request.reached_targets;
  return all_had_free_slots ? DownstreamOutcome::kRejectedWithFreeSlots
                            : DownstreamOutcome::kRejected;
}

void RequestHandler::RecordOutcomeInParent(const Request& request,
                                           unsigned status) {
  using admission::DownstreamOutcome;
  RunningRequest& parent = *request.parent;
  const bool served = status >= 200 && status < 300;
  DownstreamOutcome end = request.worst_call_outcome;
  if (served)
    end = std::min(end, DownstreamOutcome::kServedAtCapacity);
  else if (status == 429 || status == 503 || status == 504)
    end = RejectionOf(request);
  // A failure of the target itself says nothing about its load.
  if (served || end >= DownstreamOutcome::kRejectedWithFreeSlots)
    deps_.target.call_throttle().OnCallEnd(parent.route, request.call.route,
                                           end);
  parent.worst_call_outcome = std::max(parent.worst_call_outcome, end);
  parent.downstream_call_failed |= !served;
  if (!served && !request.missing_service.empty())
    parent.missing_service = request.missing_service;
}

void RequestHandler::RecordOutcome(const Request& request,
                                   unsigned status,
                                   const std::string& reason) {
  const std::string code = std::to_string(status);
  deps_.metrics.Count("yuccastair_requests_total",
                      {{"route", request.call.route}, {"status", code}});
  deps_.metrics.Observe("yuccastair_request_seconds",
                        {{"route", request.call.route}},
                        deps_.clock.Now() - request.started_at);
  counts_.RecordRequest(request.call, status, reason.empty(),
                        request.parent ? request.parent->route : "");
  if (request.parent)
    RecordOutcomeInParent(request, status);
  if (reason.empty())
    return;
  const auto suppressed_lines = log_budget_.Take();
  if (!suppressed_lines)
    return;
  nlohmann::json fields = {
      {"request", request.call.request_id},
      {"status", status},
      {"reason", reason},
      {"route", request.call.route},
      {"service", request.call.service},
      {"organisation", request.call.organisation},
      {"importance", wire::Importance_Name(request.call.importance)},
      {"attempts", ToJson(request.attempts)},
      {"reached", request.reached_targets},
      {"policy", request.policy ? request.policy->version() : 0},
      {"lines_left_out", *suppressed_lines},
      {"ms", std::chrono::duration_cast<milliseconds>(deps_.clock.Now() -
                                                      request.started_at)
                 .count()}};
  if (!request.missing_service.empty())
    fields["missing_service"] = request.missing_service;
  if (request.excluded_members)
    fields["members_left_out"] = ToJson(*request.excluded_members);
  support::LogInfo("request.ended", fields);
}

}  // namespace yuccastair::relay
