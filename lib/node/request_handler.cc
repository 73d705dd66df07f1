// Processes a request at the node that received it.

#include "request_handler.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "call_reply.h"
#include "yuccastair/routing/fingerprint.h"
#include "yuccastair/support/id.h"

namespace yuccastair::node {
namespace {

constexpr std::string_view kAnnouncePath = "/yuccastair/announce";
constexpr std::string_view kMetricsPath = "/yuccastair/metrics";
constexpr std::string_view kExplainPath = "/yuccastair/explain/";
constexpr std::string_view kTraceparentHeader = "traceparent";
constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view kSystemHeaderPrefix = "x-yuccastair-";

/// Copies the headers that may reach a target. Drops the key and all headers of
/// the system itself, regardless of case and number of occurrences.
void CopyHeaders(const http::Request& request,
                 const std::string& key_header,
                 wire::CallRequest& call) {
  std::vector<http::Header> headers = request.headers;
  http::RemoveHopByHopHeaders(headers);
  http::RemoveHeader(headers, key_header);
  for (const http::Header& header : headers) {
    if (header.name.size() >= kSystemHeaderPrefix.size() &&
        http::SameName(header.name.substr(0, kSystemHeaderPrefix.size()),
                       kSystemHeaderPrefix))
      continue;
    wire::Header* copy = call.add_headers();
    copy->set_name(header.name);
    copy->set_value(header.value);
  }
}

http::Response MakeResponse(const wire::CallReply& reply,
                            const std::string& request_id) {
  http::Response response;
  response.status = static_cast<int>(reply.status());
  response.headers.push_back(
      {"x-yuccastair-outcome", OutcomeName(reply.outcome())});
  response.headers.push_back({"x-yuccastair-request", request_id});
  if (reply.outcome() == wire::OUTCOME_OK) {
    for (const wire::Header& header : reply.headers())
      response.headers.push_back({header.name(), header.value()});
    response.body = reply.body();
    return response;
  }
  response.headers.push_back({"Content-Type", "application/json"});
  const nlohmann::json body = {{"outcome", OutcomeName(reply.outcome())},
                               {"reason", reply.reason()},
                               {"step", reply.step()},
                               {"retry_after_ms", reply.retry_after_ms()},
                               {"request_id", request_id}};
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

void FillCall(const http::Request& request,
              const RequestPolicy& policy,
              const std::string& key_header,
              wire::CallRequest& call) {
  call.set_method(request.method);
  call.set_path(request.path);
  call.set_body(request.body);
  call.set_route(policy.route);
  call.set_service(policy.service);
  call.set_organisation(policy.organisation);
  call.set_idempotent(policy.idempotent);
  call.set_settings_version(policy.settings_version);
  CopyHeaders(request, key_header, call);
}

http::Response NotFoundResponse() {
  return {404, {{"Content-Type", "application/json"}}, "{}", false};
}

std::optional<wire::TargetState> ParseTargetState(const std::string& text) {
  if (text == "cold")
    return wire::TARGET_STATE_COLD;
  if (text == "up")
    return wire::TARGET_STATE_UP;
  if (text == "draining")
    return wire::TARGET_STATE_DRAINING;
  if (text == "leaving")
    return wire::TARGET_STATE_LEAVING;
  return std::nullopt;
}

}  // namespace

RequestHandler::RequestHandler(const Settings& settings, Components components)
    : settings_(settings), components_(components) {}

http::Response RequestHandler::HandleCallerRequest(
    const http::Request& request) {
  const std::string request_id = support::RandomId();
  const Hop hop = components_.telemetry.StartRequestHop(
      "entry", http::FindHeader(request.headers, kTraceparentHeader));
  wire::CallRequest call;
  call.set_request_id(request_id);
  call.set_trace_id(hop.context.trace_id);
  call.set_parent_span_id(hop.context.span_id);
  call.set_trace_sampled(hop.context.sampled);
  call.set_depth(1);
  const wire::CallReply reply = RunCallerRequest(request, call);
  components_.telemetry.FinishHop(hop, request_id, &call, reply);
  return MakeResponse(reply, request_id);
}

wire::CallReply RequestHandler::RunCallerRequest(const http::Request& request,
                                                 wire::CallRequest& call) {
  const Authorisation authorisation = components_.authoriser.AuthoriseCaller(
      request, http::FindHeader(request.headers, settings_.key_header));
  const RequestPolicy& policy = authorisation.policy;
  FillCall(request, policy, settings_.key_header, call);
  if (authorisation.rejection)
    return *authorisation.rejection;
  const auto deadline = support::SteadyClock().Now() + policy.deadline;
  if (auto rejection =
          components_.rate_limiter.Admit(policy.organisation, deadline))
    return *std::move(rejection);
  call.set_importance(policy.importance);
  // The first attempt of a call is not charged to the budget.
  call.set_attempt_budget(policy.max_attempts > 0 ? policy.max_attempts - 1
                                                  : 0);
  return RunWithClaim(call,
                      http::FindHeader(request.headers, kIdempotencyKeyHeader),
                      deadline, request.caller_gone);
}

wire::CallReply RequestHandler::RunWithClaim(
    const wire::CallRequest& call,
    const std::string& idempotency_key,
    support::TimePoint deadline,
    const std::function<bool()>& caller_disconnected) {
  if (call.idempotent() || idempotency_key.empty())
    return RunWithCrashGuard(call, deadline, caller_disconnected);
  ClaimClient::Claim claim =
      components_.claim_client.Begin(call, idempotency_key, deadline);
  if (claim.reply)
    return *std::move(claim.reply);
  wire::CallReply reply =
      RunWithCrashGuard(call, deadline, caller_disconnected);
  components_.claim_client.Finish(claim, reply);
  return reply;
}

wire::CallReply RequestHandler::RunWithCrashGuard(
    const wire::CallRequest& call,
    support::TimePoint deadline,
    const std::function<bool()>& caller_disconnected) {
  CrashGuard::GuardedCall guarded_call =
      components_.crash_guard.Begin(call, deadline);
  if (guarded_call.rejection)
    return *std::move(guarded_call.rejection);
  wire::CallRequest sent_call = call;
  // A permit covers one target, so the call must not be retried elsewhere.
  if (!guarded_call.permit_id.empty())
    sent_call.set_attempt_budget(0);
  wire::CallReply reply = components_.forwarder.Forward(
      std::move(sent_call), deadline, caller_disconnected);
  components_.crash_guard.Finish(guarded_call, reply);
  return reply;
}

http::Response RequestHandler::HandleTargetRequest(
    const http::Request& request) {
  if (request.path == kAnnouncePath)
    return HandleAnnouncement(request);
  if (request.path == kMetricsPath)
    return {200,
            {{"Content-Type", "text/plain; version=0.0.4"}},
            components_.telemetry.metrics().ToPrometheusText(),
            false};
  if (request.path.rfind(kExplainPath, 0) == 0)
    return HandleExplain(request.path.substr(kExplainPath.size()));
  return HandleTargetCall(request);
}

http::Response RequestHandler::HandleTargetCall(const http::Request& request) {
  const std::string token =
      http::FindHeader(request.headers, "x-yuccastair-call");
  const std::optional<CallContext> context =
      components_.running_calls.Find(token);
  if (!context)
    return MakeResponse(NotRunReply("context",
                                    "x-yuccastair-call names no running "
                                    "request of this node",
                                    403),
                        "");
  const Authorisation authorisation =
      components_.authoriser.AuthoriseTargetCall(request,
                                                 context->organisation);
  if (authorisation.rejection)
    return MakeResponse(*authorisation.rejection, context->request_id);
  wire::CallRequest call;
  FillCall(request, authorisation.policy, settings_.key_header, call);
  call.set_request_id(context->request_id);
  call.set_trace_id(context->trace_id);
  call.set_parent_span_id(context->span_id);
  call.set_trace_sampled(context->trace_sampled);
  const Hop hop = components_.telemetry.StartCallHop("outgoing", call);
  call.set_parent_span_id(hop.context.span_id);
  call.set_importance(context->importance);
  call.set_depth(context->depth + 1);
  const std::uint64_t fingerprint = routing::ResendFingerprint(call);
  const RunningCalls::ChildCallGrant grant =
      components_.running_calls.BeginChildCall(token, fingerprint);
  if (!grant.allowed)
    return MakeResponse(NotRunReply("retry", grant.reason),
                        context->request_id);
  call.set_attempt_budget(grant.attempts);
  const wire::CallReply reply = RunWithClaim(
      call, http::FindHeader(request.headers, kIdempotencyKeyHeader),
      context->deadline, request.caller_gone);
  components_.telemetry.FinishHop(hop, context->request_id, &call, reply);
  components_.running_calls.EndChildCall(token, fingerprint, grant, reply);
  return MakeResponse(reply, context->request_id);
}

http::Response RequestHandler::HandleAnnouncement(
    const http::Request& request) {
  const nlohmann::json body =
      nlohmann::json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  TargetAnnouncement announcement;
  std::optional<wire::TargetState> state;
  std::optional<support::Address> address;
  if (body.is_object()) {
    announcement.service = body.value("service", "");
    announcement.incarnation = body.value("incarnation", "");
    address = support::ParseAddress(body.value("address", ""));
    state = ParseTargetState(body.value("state", ""));
  }
  if (announcement.service.empty() || !address || !state) {
    return MakeResponse(
        NotRunReply(
            "announce",
            "an announcement is a JSON object with service, incarnation, "
            "address (ip:port) and state (cold, up, draining or leaving)",
            400),
        "");
  }
  announcement.address = *address;
  announcement.state = *state;
  components_.target_executor.Announce(announcement);
  return {.status = 200, .headers = {}, .body = "{}"};
}

http::Response RequestHandler::HandleExplain(
    const std::string& request_id) const {
  nlohmann::json list = nlohmann::json::array();
  for (const observe::Decision& decision :
       components_.telemetry.decisions().Explain(request_id))
    list.push_back(observe::ToJson(decision));
  if (list.empty())
    return NotFoundResponse();
  return {200, {{"Content-Type", "application/json"}}, list.dump(), false};
}

http::Response RequestHandler::MakeRejectionResponse(const http::Request&,
                                                     int status) const {
  if (status == 413)
    return MakeResponse(NotRunReply("read request",
                                    "the body is larger than "
                                    "node.max_body_bytes",
                                    status),
                        "");
  if (status == 400 || status == 417)
    return MakeResponse(
        NotRunReply("read request", "the request is malformed", status), "");
  if (status == 503)
    return MakeResponse(
        NotRunReply("accept",
                    "the node is stopping or has too many requests in flight",
                    status),
        "");
  // The handler failed or its response could not be sent, so a target may have
  // run the request.
  return MakeResponse(
      UnknownReply("respond", "the response could not be delivered", status),
      "");
}

}  // namespace yuccastair::node
