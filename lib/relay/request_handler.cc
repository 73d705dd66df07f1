// Handles a caller's request up to its response.

#include "request_handler.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "call_exchange.h"
#include "peer_protocol.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

namespace http = stream::http;
using admission::DownstreamOutcome;
using std::chrono::milliseconds;
using stream::Task;

// The members of the service are known, and none of them accepts requests: each
// one is leaving, is down, or is in a zone that is out of service.
constexpr const char* kNoTargetInService =
    "the service has no target in service";
// Maximum number of relays to which a request is offered before it is rejected.
// Their rejections do not reach a target and cost little, but each takes time.
constexpr std::size_t kMaxOfferedTargets = 3;
// The queue time is limited to this fraction of the objective. A response after
// the objective is worth less, and a caller that is rejected early can retry in
// time.
constexpr int kQueueTimeDivisor = 4;
constexpr milliseconds kMinQueueTime{20};
// A retry needs at least this fraction of the request's total time.
constexpr int kMinRetryTimeDivisor = 4;

// Maximum rate of log lines about requests; a line costs as much as rejecting a
// request.
constexpr double kMaxLinesPerSecond = 20;
constexpr double kMaxLineBurst = 40;

wire::Importance ImportanceOf(std::uint32_t rank) {
  return static_cast<wire::Importance>(
      std::min<std::uint32_t>(rank, wire::IMPORTANCE_LOW));
}

std::string HeaderText(const stream::Fields& fields, const std::string& name) {
  return std::string(fields[name]);
}

}  // namespace

RequestHandler::RequestHandler(Dependencies deps,
                               std::string node_id,
                               std::string service)
    : deps_(deps),
      node_id_(std::move(node_id)),
      service_(std::move(service)),
      log_budget_(deps.clock, kMaxLinesPerSecond, kMaxLineBurst) {}

Task<void> RequestHandler::Handle(stream::ServerExchange& exchange) {
  Request request;
  request.started_at = deps_.clock.Now();
  Rejection rejection;
  const bool prepared = Prepare(exchange.head(), request, rejection);
  const auto pass =
      prepared ? deps_.gate.Enter(request.call.route, OriginOf(request),
                                  request.call.deadline)
               : nullptr;
  const stream::ErrorCode error = co_await exchange.ReadBody(request.call.body);
  if (error) {
    if (exchange.body_too_large()) {
      rejection = {413, "the body is too large"};
      co_await Reject(exchange, request, rejection);
    } else if (error == stream::beast::error::timeout ||
               error == http::error::partial_message ||
               error == stream::asio::error::connection_reset) {
      exchange.Abort();
    } else {
      rejection = {400, "the body cannot be read: " + error.message()};
      co_await Reject(exchange, request, rejection);
    }
    co_return;
  }
  if (!prepared) {
    co_await Reject(exchange, request, rejection);
    co_return;
  }
  if (!pass) {
    deps_.metrics.Count("yuccastair_stopping_refusals_total",
                        {{"from", "caller"}});
    co_await Reject(exchange, request, RefusalOfStoppingRelay(request));
    co_return;
  }
  RelayCall& call = request.call;
  pass->SetCancellation(call.cancellation);
  WatchForDisconnect(exchange, call);
  if (call.cancellation.CheckCaller()) {
    co_await Respond(exchange, request,
                     CallResult::NotRun("the caller has left"));
    co_return;
  }
  call.fingerprint = FingerprintOf(call);
  if (deps_.target.crash_monitor().IsBlocked(call.fingerprint)) {
    rejection = {503, kCrashingRequest, CrashMonitor::kRetention};
    deps_.metrics.Count("yuccastair_crashing_refusals_total",
                        {{"route", call.route}});
    co_await Reject(exchange, request, rejection);
    co_return;
  }
  const wire::PolicyOrganisation* organisation =
      request.policy->FindOrganisation(call.organisation);
  bool within_rate = true;
  if (organisation != nullptr && organisation->rate() > 0)
    within_rate = co_await deps_.rates.AcquireToken(call.organisation);
  if (!within_rate) {
    const rates::Shortage shortage =
        deps_.rates.CurrentShortage(call.organisation);
    // Only kRateExceeded is caused by the organisation itself.
    rejection = {shortage == rates::Shortage::kRateExceeded ? 429U : 503U,
                 rates::ShortageText(shortage),
                 std::max(deps_.rates.RetryAfter(call.organisation),
                          RandomRetryAfter(request))};
    deps_.metrics.Count("yuccastair_rate_refusals_total",
                        {{"reason", rejection.reason}});
    co_await Reject(exchange, request, rejection);
    co_return;
  }
  CallResult result = co_await SendWithRetries(request);
  co_await Respond(exchange, request, std::move(result));
}

/// Reads the parts of the request that decide whether it is allowed.
bool RequestHandler::Prepare(const http::header<true>& head,
                             Request& request,
                             Rejection& rejection) {
  RelayCall& call = request.call;
  const HeaderNames& names = deps_.names;
  call.head = head;
  call.request_id = HeaderText(head, names.request_id);
  if (call.request_id.empty())
    call.request_id = support::RandomId();
  const std::string announced = HeaderText(head, names.deadline);
  const std::string credentials = HeaderText(head, names.api_key);
  for (const std::string& name :
       {names.request_id, names.deadline, names.organisation,
        names.caller_service, names.expected_target, names.api_key})
    call.head.erase(name);
  RemovePeerHeaders(call.head);
  stream::RemoveHopByHop(call.head);
  call.caller_service = service_;
  call.requested_at = request.started_at;

  request.policy = deps_.fleet.policy();
  if (!request.policy) {
    rejection = {503, "no policy is known yet", kMinRetryAfter};
    return false;
  }
  request.route = request.policy->FindRoute(
      HeaderText(head, "host"), {head.target().data(), head.target().size()});
  if (request.route == nullptr) {
    rejection = {404, "no route matches"};
    return false;
  }
  call.route = request.route->name();
  call.idempotent = request.route->idempotent();
  call.caller_kind = call.idempotent ? admission::RequestKind::kRepeatable
                                     : admission::RequestKind::kUnrepeatable;
  call.importance = ImportanceOf(request.route->rank());
  call.rank = request.route->rank();
  SetDeadlines(announced, request);
  if (!Authorise(credentials, request, rejection))
    return false;
  call.service = deps_.fleet.service_picker().Pick(*request.route);
  return true;
}

bool RequestHandler::Authorise(const std::string& credentials,
                               Request& request,
                               Rejection& rejection) const {
  RelayCall& call = request.call;
  if (request.policy->policy().organisations().empty())
    return true;
  if (request.route->open()) {
    InheritFromParent(request);
    return true;
  }
  const std::string prefix = deps_.names.api_key_scheme + " ";
  const wire::PolicyOrganisation* organisation = nullptr;
  if (credentials.compare(0, prefix.size(), prefix) == 0)
    organisation = request.policy->FindByKey(credentials.substr(prefix.size()));
  if (organisation == nullptr) {
    rejection = {401, "the key is not known"};
    return false;
  }
  call.organisation = organisation->name();
  if (organisation->has_rank())
    call.importance = ImportanceOf(organisation->rank());
  return true;
}

/// A call of the local target inherits the importance and rank of the request
/// that makes it. It has priority over new requests of the same importance,
/// since the request has been admitted and its work would be lost.
void RequestHandler::InheritFromParent(Request& request) const {
  RelayCall& call = request.call;
  request.parent = deps_.target.running_requests().FindParent(
      call.request_id, request.caller_deadline);
  if (!request.parent)
    return;
  call.importance = request.parent->importance;
  call.rank = request.parent->rank;
  call.depth = request.parent->depth + 1;
  call.caller_kind = request.parent->caller_kind;
  call.requested_at = request.parent->requested_at;
  call.parent_is_retry = request.parent->is_retry;
}

RequestGate::Origin RequestHandler::OriginOf(const Request& request) const {
  // An open gate does not depend on the origin.
  if (!deps_.gate.closed())
    return RequestGate::Origin::kCaller;
  // Not only open routes are called by targets if there are no organisations.
  const bool from_target =
      request.parent || deps_.target.running_requests().FindParent(
                            request.call.request_id, request.caller_deadline);
  return from_target ? RequestGate::Origin::kTargetCall
                     : RequestGate::Origin::kCaller;
}

void RequestHandler::SetDeadlines(const std::string& announced,
                                  Request& request) const {
  const wire::PolicyRoute& route = *request.route;
  milliseconds left(route.timeout_ms());
  std::int64_t stated = 0;
  const auto parsed = std::from_chars(
      announced.data(), announced.data() + announced.size(), stated);
  if (!announced.empty() && parsed.ec == std::errc()) {
    request.caller_deadline = request.started_at + milliseconds(stated);
    left = std::min(left, milliseconds(stated));
  }
  request.call.deadline = request.started_at + left;
  const milliseconds wait = std::max(
      kMinQueueTime, milliseconds(route.objective_ms()) / kQueueTimeDivisor);
  request.call.queue_deadline =
      std::min(request.call.deadline, request.started_at + wait);
}

Task<CallResult> RequestHandler::SendWithRetries(Request& request) {
  RelayCall& call = request.call;
  ServiceRouter& service = deps_.fleet.RouterFor(call.service);
  service.retry_share.OnFirstAttempt();
  CallResult result = CallResult::NotRun("no target can be reached");
  // The last response of a target for which a retry was started.
  std::optional<CallResult> previous_response;
  while (true) {
    const auto choice =
        service.router.Choose(call.idempotent, request.tried_targets);
    if (!choice) {
      request.excluded_members =
          service.router.ExplainExclusions(request.tried_targets);
      if (request.tried_targets.empty() &&
          !deps_.fleet.MayHaveTarget(call.service)) {
        result = CallResult::NotRun(kNoTargetInService);
        result.missing_service = call.service;
      }
      if (previous_response)
        result = std::move(*previous_response);
      co_return result;
    }
    request.tried_targets.push_back(choice->node_id);
    result = co_await SendAttempt(request, *choice);
    if (previous_response && result.outcome == wire::OUTCOME_NOT_RUN) {
      result = std::move(*previous_response);
      co_return result;
    }
    if (result.reached_target) {
      ++request.reached_targets;
      request.rejecting_targets_with_free_slots +=
          result.outcome == wire::OUTCOME_NOT_RUN &&
          result.worst_call_outcome ==
              DownstreamOutcome::kRejectedWithFreeSlots;
      call.is_retry = true;
    }
    if (result.outcome != wire::OUTCOME_NOT_RUN)
      request.may_have_run = true;
    if (!MayRetry(request, result))
      co_return result;
    support::LogDebug("request.repeated", {{"request", call.request_id},
                                           {"after", choice->node_id},
                                           {"reason", result.reason}});
    // Ends the discarded response, which may hold a slot of its target. A
    // response that is buffered in full is delivered if the retry is rejected.
    if (result.on_body_end)
      result.on_body_end(false);
    else if (result.outcome == wire::OUTCOME_OK)
      previous_response = std::move(result);
  }
}

Task<CallResult> RequestHandler::SendAttempt(Request& request,
                                             const routing::Choice& choice) {
  RelayCall& call = request.call;
  CallResult result;
  const support::TimePoint began = deps_.clock.Now();
  const support::TimePoint queue_deadline = call.queue_deadline;
  // The relay of the target may not know of the order for its zone.
  if (const auto left = deps_.fleet.RetirementLeft(choice.availability_zone))
    call.queue_deadline = std::min(queue_deadline, began + *left);
  if (choice.node_id == node_id_) {
    result = co_await deps_.target.Run(call);
  } else {
    const auto address = support::ParseAddress(choice.address);
    if (address)
      result = co_await deps_.peers.Send(call, *address);
    else
      result = CallResult::NotRun("member without an address");
  }
  call.queue_deadline = queue_deadline;
  if (choice.node_id != node_id_)
    deps_.traffic.Record("calls", choice.availability_zone,
                         call.body.begin.size() + result.body.begin.size());
  auto end = routing::AttemptOutcome::kAbandoned;
  if (call.cancellation.requested()) {
    end = routing::AttemptOutcome::kAbandoned;
  } else if (result.outcome == wire::OUTCOME_OK) {
    deps_.target.crash_monitor().OnAnswered(call.fingerprint);
    const unsigned status = result.head.result_int();
    if (status < 500)
      end = routing::AttemptOutcome::kServed;
    else if (status != 504)
      end = routing::AttemptOutcome::kFailed;
  } else if (result.peer_failed) {
    end = routing::AttemptOutcome::kUnreachable;
  } else if (result.outcome == wire::OUTCOME_NOT_RUN) {
    end = result.reached_target ? routing::AttemptOutcome::kFailed
                                : routing::AttemptOutcome::kRejected;
  } else {
    end = routing::AttemptOutcome::kFailed;
  }
  deps_.fleet.RouterFor(call.service)
      .router.RecordOutcome(choice, end, result.load ? &*result.load : nullptr);
  const auto duration =
      std::chrono::duration_cast<milliseconds>(deps_.clock.Now() - began);
  // The time in which a connection was not made is no time in a queue: another
  // target may have a free slot.
  if (result.peer_failed && result.outcome == wire::OUTCOME_NOT_RUN)
    call.queue_deadline =
        std::min(call.deadline, call.queue_deadline + duration);
  request.attempts.push_back(
      {choice.node_id, choice.load, choice.limit, duration,
       result.outcome == wire::OUTCOME_OK
           ? "status " + std::to_string(result.head.result_int())
           : result.reason});
  co_return result;
}

bool RequestHandler::MayRetry(const Request& request,
                              const CallResult& result) {
  const RelayCall& call = request.call;
  // A long body is not buffered and cannot be sent again.
  if (call.cancellation.requested() || call.cancellation.wait_ended() ||
      !call.body.whole() ||
      request.tried_targets.size() >= kMaxOfferedTargets ||
      result.downstream_overloaded)
    return false;
  const support::TimePoint now = deps_.clock.Now();
  if (result.outcome == wire::OUTCOME_NOT_RUN && !result.reached_target)
    return now < call.queue_deadline;
  if (now + (call.deadline - request.started_at) / kMinRetryTimeDivisor >=
          call.deadline ||
      request.reached_targets >= request.route->attempts())
    return false;
  // If a call of the target has failed, it was already retried there.
  const bool failed =
      result.outcome == wire::OUTCOME_OK && result.head.result_int() >= 500 &&
      result.head.result_int() != 504 && !result.downstream_call_failed;
  const bool safe = call.idempotent || result.outcome == wire::OUTCOME_NOT_RUN;
  // The request may end a second target.
  if (result.outcome == wire::OUTCOME_UNKNOWN &&
      deps_.target.crash_monitor().IsSuspect(call.fingerprint))
    return false;
  if (!safe || (result.outcome == wire::OUTCOME_OK && !failed))
    return false;
  return deps_.fleet.RouterFor(call.service)
      .retry_share.TryTake(RetryPriorityOf(call));
}

}  // namespace yuccastair::relay
