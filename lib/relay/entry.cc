// From a caller's request to its answer.

#include "entry.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "peer_protocol.h"
#include "send.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::relay {
namespace {

namespace http = stream::http;
using std::chrono::milliseconds;
using stream::Task;

// Control processes have told the members of the service, and none of them
// takes requests: it leaves, is down, or its zone is out of service.
constexpr const char* kNoTargetInService =
    "the service has no target in service";
// Relays that one request is offered to before it is refused. Their refusals
// reach no target, so they cost little, but each takes time.
constexpr std::size_t kMaxPlacements = 3;
// Part of the objective that a request may wait for a slot. An answer later
// than the objective is worth less, and a caller that is refused early can come
// back in time.
constexpr int kQueueShare = 4;
constexpr milliseconds kMinQueueTime{20};
// A repeat needs at least this part of the time that the request had.
constexpr int kRepeatNeedsShare = 4;
// Callers that are refused come back spread over a time up to this one.
constexpr milliseconds kMaxRetryAfter{1000};
constexpr milliseconds kMinRetryAfter{50};
// A caller waits at most a third of the time it has left; the spread stays
// below that.
constexpr int kRetryAfterShare = 4;

// Lines about requests that a process writes; a line costs as much as refusing
// a request.
constexpr double kLinesPerSecond = 20;
constexpr double kLineBurst = 40;

wire::Importance ImportanceOf(std::uint32_t rank) {
  return static_cast<wire::Importance>(
      std::min<std::uint32_t>(rank, wire::IMPORTANCE_LOW));
}

std::string Text(const stream::Fields& fields, const std::string& name) {
  return std::string(fields[name]);
}

nlohmann::json ToJson(const std::vector<AttemptNote>& attempts) {
  nlohmann::json list = nlohmann::json::array();
  for (const AttemptNote& attempt : attempts)
    list.push_back({{"target", attempt.target},
                    {"load", std::lround(attempt.load)},
                    {"limit", std::lround(attempt.limit)},
                    {"ms", attempt.took.count()},
                    {"result", attempt.result}});
  return list;
}

nlohmann::json ToJson(const std::vector<routing::ExcludedMember>& excluded) {
  nlohmann::json members = nlohmann::json::object();
  for (const routing::ExcludedMember& member : excluded)
    members[member.node_id] = member.reason;
  return members;
}

/// Seconds with three decimals, as Retry-After carries them.
std::string ToSeconds(milliseconds time) {
  const std::string fraction = std::to_string(1000 + time.count() % 1000);
  return std::to_string(time.count() / 1000) + "." + fraction.substr(1);
}

}  // namespace

Entry::Entry(Parts parts, std::string own_id, std::string service)
    : parts_(parts),
      own_id_(std::move(own_id)),
      service_(std::move(service)),
      lines_(parts.clock, kLinesPerSecond, kLineBurst) {}

Task<void> Entry::Handle(stream::ServerExchange& exchange) {
  Request request;
  request.began = parts_.clock.Now();
  Refusal refusal;
  const bool prepared = Prepare(exchange.head(), request, refusal);
  const stream::ErrorCode error = co_await exchange.ReadBody(request.call.body);
  if (error) {
    if (exchange.body_too_large()) {
      refusal = {413, "the body is too large"};
      co_await Refuse(exchange, request, refusal);
    } else if (error == stream::beast::error::timeout ||
               error == http::error::partial_message ||
               error == stream::asio::error::connection_reset) {
      exchange.Abort();
    } else {
      refusal = {400, "the body cannot be read: " + error.message()};
      co_await Refuse(exchange, request, refusal);
    }
    co_return;
  }
  if (!prepared) {
    co_await Refuse(exchange, request, refusal);
    co_return;
  }
  RelayCall& call = request.call;
  FollowCaller(exchange, call);
  if (call.cancellation.Check()) {
    co_await Answer(exchange, request,
                    CallResult::NotRun("the caller has left"));
    co_return;
  }
  const wire::PolicyOrganisation* organisation =
      request.policy->FindOrganisation(call.organisation);
  bool within_rate = true;
  if (organisation != nullptr && organisation->rate() > 0)
    within_rate = co_await parts_.rates.Take(call.organisation);
  if (!within_rate) {
    const rates::Shortage shortage = parts_.rates.ShortageOf(call.organisation);
    // Only the first of the reasons says anything about the organisation.
    refusal = {shortage == rates::Shortage::kRateExceeded ? 429U : 503U,
               rates::ShortageText(shortage),
               std::max(parts_.rates.RetryAfter(call.organisation),
                        SpreadRetry(request))};
    parts_.metrics.Count("yuccastair_rate_refusals_total",
                         {{"reason", refusal.reason}});
    co_await Refuse(exchange, request, refusal);
    co_return;
  }
  CallResult result = co_await Send(request);
  co_await Answer(exchange, request, std::move(result));
}

/// Reads the request as far as it decides what is allowed.
bool Entry::Prepare(const http::header<true>& head,
                    Request& request,
                    Refusal& refusal) {
  RelayCall& call = request.call;
  const HeaderNames& names = parts_.names;
  call.head = head;
  call.request_id = Text(head, names.request_id);
  if (call.request_id.empty())
    call.request_id = support::RandomId();
  const std::string announced = Text(head, names.deadline);
  const std::string credentials = Text(head, names.key);
  for (const std::string& name :
       {names.request_id, names.deadline, names.organisation,
        names.caller_service, names.expected_target, names.key})
    call.head.erase(name);
  RemovePeerHeaders(call.head);
  stream::RemoveHopByHop(call.head);
  call.caller_service = service_;
  call.requested_at = request.began;

  request.policy = parts_.fleet.policy();
  if (!request.policy) {
    refusal = {503, "no policy is known yet", kMinRetryAfter};
    return false;
  }
  request.route = request.policy->FindRoute(
      Text(head, "host"), {head.target().data(), head.target().size()});
  if (request.route == nullptr) {
    refusal = {404, "no route matches"};
    return false;
  }
  call.route = request.route->name();
  call.idempotent = request.route->idempotent();
  call.importance = ImportanceOf(request.route->rank());
  call.rank = request.route->rank();
  SetDeadlines(announced, request);
  if (!Authorise(credentials, request, refusal))
    return false;
  call.service = parts_.fleet.shares().Pick(*request.route);
  return true;
}

bool Entry::Authorise(const std::string& credentials,
                      Request& request,
                      Refusal& refusal) const {
  RelayCall& call = request.call;
  if (request.policy->policy().organisations().empty())
    return true;
  if (request.route->open()) {
    InheritFromParent(request);
    return true;
  }
  const std::string prefix = parts_.names.key_scheme + " ";
  const wire::PolicyOrganisation* organisation = nullptr;
  if (credentials.compare(0, prefix.size(), prefix) == 0)
    organisation = request.policy->FindByKey(credentials.substr(prefix.size()));
  if (organisation == nullptr) {
    refusal = {401, "the key is not known"};
    return false;
  }
  call.organisation = organisation->name();
  if (organisation->has_rank())
    call.importance = ImportanceOf(organisation->rank());
  return true;
}

/// A call of the own target has the importance and rank of the request that
/// makes it and goes before new requests like that: the request has been
/// admitted, and its work would be lost.
void Entry::InheritFromParent(Request& request) const {
  RelayCall& call = request.call;
  request.parent = parts_.target.running_requests().FindParent(
      call.request_id, request.asked_until);
  if (!request.parent)
    return;
  call.importance = request.parent->importance;
  call.rank = request.parent->rank;
  call.depth = request.parent->depth + 1;
  call.requested_at = request.parent->requested_at;
  call.inherited_repeat = request.parent->repeated;
}

void Entry::SetDeadlines(const std::string& announced, Request& request) const {
  const wire::PolicyRoute& route = *request.route;
  milliseconds left(route.timeout_ms());
  std::int64_t stated = 0;
  const auto parsed = std::from_chars(
      announced.data(), announced.data() + announced.size(), stated);
  if (!announced.empty() && parsed.ec == std::errc()) {
    request.asked_until = request.began + milliseconds(stated);
    left = std::min(left, milliseconds(stated));
  }
  request.call.deadline = request.began + left;
  const milliseconds wait =
      std::max(kMinQueueTime, milliseconds(route.objective_ms()) / kQueueShare);
  request.call.queue_until =
      std::min(request.call.deadline, request.began + wait);
}

Task<CallResult> Entry::Send(Request& request) {
  RelayCall& call = request.call;
  ServiceRoute& service = parts_.fleet.RouteTo(call.service);
  service.retries.OnFirstAttempt();
  CallResult result = CallResult::NotRun("no target can be reached");
  // The last answer of a target that was to be improved by a repeat.
  std::optional<CallResult> failure;
  while (true) {
    const auto choice = service.router.Choose(call.idempotent, request.tried);
    if (!choice) {
      request.excluded = service.router.ExplainExclusions(request.tried);
      if (request.tried.empty() && !parts_.fleet.MayHaveTarget(call.service)) {
        result = CallResult::NotRun(kNoTargetInService);
        result.missing_service = call.service;
      }
      if (failure)
        result = std::move(*failure);
      co_return result;
    }
    request.tried.push_back(choice->node_id);
    result = co_await Attempt(request, *choice);
    if (failure && result.outcome == wire::OUTCOME_NOT_RUN) {
      result = std::move(*failure);
      co_return result;
    }
    if (result.reached_target) {
      ++request.reached;
      call.repeat = true;
    }
    if (result.outcome != wire::OUTCOME_NOT_RUN)
      request.may_have_run = true;
    if (!MayRepeat(request, result))
      co_return result;
    support::LogDebug("request.repeated", {{"request", call.request_id},
                                           {"after", choice->node_id},
                                           {"reason", result.reason}});
    // Ends an answer that is dropped, which may hold a slot of its target. One
    // that is held whole is delivered if the repeat is refused.
    if (result.on_end)
      result.on_end(false);
    else if (result.outcome == wire::OUTCOME_OK)
      failure = std::move(result);
  }
}

Task<CallResult> Entry::Attempt(Request& request,
                                const routing::Choice& choice) {
  RelayCall& call = request.call;
  CallResult result;
  const support::TimePoint began = parts_.clock.Now();
  if (choice.node_id == own_id_) {
    result = co_await parts_.target.Run(call);
  } else {
    const auto address = support::ParseAddress(choice.address);
    if (address)
      result = co_await parts_.peers.Send(call, *address);
    else
      result = CallResult::NotRun("member without an address");
  }
  auto end = routing::AttemptOutcome::kAbandoned;
  if (call.cancellation.requested()) {
    end = routing::AttemptOutcome::kAbandoned;
  } else if (result.outcome == wire::OUTCOME_OK) {
    const unsigned status = result.head.result_int();
    if (status < 500)
      end = routing::AttemptOutcome::kServed;
    else if (status != 504)
      end = routing::AttemptOutcome::kFailed;
  } else if (result.peer_silent) {
    end = routing::AttemptOutcome::kUnreachable;
  } else if (result.outcome == wire::OUTCOME_NOT_RUN) {
    end = result.reached_target ? routing::AttemptOutcome::kFailed
                                : routing::AttemptOutcome::kRejected;
  } else {
    end = routing::AttemptOutcome::kFailed;
  }
  parts_.fleet.RouteTo(call.service)
      .router.RecordOutcome(choice, end, result.load ? &*result.load : nullptr);
  request.attempts.push_back(
      {choice.node_id, choice.load, choice.limit,
       std::chrono::duration_cast<milliseconds>(parts_.clock.Now() - began),
       result.outcome == wire::OUTCOME_OK
           ? "status " + std::to_string(result.head.result_int())
           : result.reason});
  co_return result;
}

bool Entry::MayRepeat(const Request& request, const CallResult& result) {
  const RelayCall& call = request.call;
  // A long body is gone once it has been passed on.
  if (call.cancellation.requested() || !call.body.whole() ||
      request.tried.size() >= kMaxPlacements || result.overloaded_below)
    return false;
  const support::TimePoint now = parts_.clock.Now();
  if (result.outcome == wire::OUTCOME_NOT_RUN && !result.reached_target)
    return now < call.queue_until;
  if (now + (call.deadline - request.began) / kRepeatNeedsShare >=
          call.deadline ||
      request.reached >= request.route->attempts())
    return false;
  // Where a call of the target has failed, it has been repeated there already.
  const bool failed = result.outcome == wire::OUTCOME_OK &&
                      result.head.result_int() >= 500 &&
                      result.head.result_int() != 504 && !result.call_failed;
  const bool safe = call.idempotent || result.outcome == wire::OUTCOME_NOT_RUN;
  if (!safe || (result.outcome == wire::OUTCOME_OK && !failed))
    return false;
  return parts_.fleet.RouteTo(call.service).retries.TryTake();
}

Task<void> Entry::Answer(stream::ServerExchange& exchange,
                         Request& request,
                         CallResult result) {
  request.calls_end = result.calls_end;
  request.missing_service = result.missing_service;
  if (result.load && result.load->queued() > 0)
    request.calls_end = std::max(
        request.calls_end, admission::DownstreamOutcome::kServedAtCapacity);
  request.without_room = result.outcome == wire::OUTCOME_NOT_RUN &&
                         request.reached == 0 && !result.peer_silent;
  if (request.call.cancellation.requested()) {
    if (result.on_end)
      result.on_end(false);
    exchange.Abort();
    Record(request, 0, "the caller has left");
    co_return;
  }
  if (result.outcome == wire::OUTCOME_OK) {
    const unsigned status = result.head.result_int();
    const bool whole = co_await DeliverAnswer(exchange, result);
    Record(request, whole ? status : 0,
           whole ? "" : "the answer could not be delivered whole");
    co_return;
  }
  co_await Refuse(exchange, request, RefusalFor(request, result));
}

/// Returns when a refused caller should come back: spread over a part of the
/// time that it has, so that those refused together do not come together.
milliseconds Entry::SpreadRetry(const Request& request) const {
  const milliseconds left = TimeLeft(request.call.deadline, parts_.clock.Now());
  const milliseconds longest =
      std::clamp(left / kRetryAfterShare, kMinRetryAfter, kMaxRetryAfter);
  const milliseconds shortest = std::max(kMinRetryAfter, longest / 3);
  const auto spread =
      static_cast<std::uint32_t>((longest - shortest).count() + 1);
  return shortest + milliseconds(support::RandomBelow(spread));
}

Entry::Refusal Entry::RefusalFor(const Request& request,
                                 const CallResult& result) const {
  const support::TimePoint now = parts_.clock.Now();
  const milliseconds left = TimeLeft(request.call.deadline, now);
  if (!request.may_have_run)
    return {503, result.reason, SpreadRetry(request)};
  return {left.count() == 0 ? 504U : 502U, result.reason};
}

Task<void> Entry::Refuse(stream::ServerExchange& exchange,
                         const Request& request,
                         const Refusal& refusal) {
  http::header<false> head = HeadWith(refusal.status);
  head.set(parts_.names.request_id, request.call.request_id);
  if (refusal.status == 503 || refusal.status == 429)
    head.set(http::field::retry_after,
             ToSeconds(std::max(refusal.retry_after, kMinRetryAfter)));
  Record(request, refusal.status, refusal.reason);
  co_await exchange.RespondText(std::move(head), refusal.reason + "\n");
}

void Entry::NoteCallEnd(const Request& request, unsigned status) {
  using admission::DownstreamOutcome;
  RunningRequest& parent = *request.parent;
  const bool served = status >= 200 && status < 300;
  DownstreamOutcome end = request.calls_end;
  if (served)
    end = std::min(end, DownstreamOutcome::kServedAtCapacity);
  else if (status == 429 || status == 503 || status == 504)
    end = request.without_room ? DownstreamOutcome::kNoCapacity
                               : DownstreamOutcome::kRejected;
  parent.calls_end = std::max(parent.calls_end, end);
  parent.call_failed |= !served;
  if (!served && !request.missing_service.empty())
    parent.missing_service = request.missing_service;
}

void Entry::Record(const Request& request,
                   unsigned status,
                   const std::string& reason) {
  const std::string code = std::to_string(status);
  parts_.metrics.Count("yuccastair_requests_total",
                       {{"route", request.call.route}, {"status", code}});
  parts_.metrics.Observe("yuccastair_request_seconds",
                         {{"route", request.call.route}},
                         parts_.clock.Now() - request.began);
  counts_.Count(request.call, status, reason.empty(),
                request.parent ? request.parent->route : "");
  if (request.parent)
    NoteCallEnd(request, status);
  if (reason.empty())
    return;
  const auto left_out = lines_.Take();
  if (!left_out)
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
      {"reached", request.reached},
      {"policy", request.policy ? request.policy->version() : 0},
      {"lines_left_out", *left_out},
      {"ms", std::chrono::duration_cast<milliseconds>(parts_.clock.Now() -
                                                      request.began)
                 .count()}};
  if (!request.missing_service.empty())
    fields["missing_service"] = request.missing_service;
  if (request.excluded)
    fields["members_left_out"] = ToJson(*request.excluded);
  support::LogInfo("request.ended", fields);
}

}  // namespace yuccastair::relay
