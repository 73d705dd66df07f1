// Records a span and metrics for each hop, and a decision for each that ended
// without a response of the target.

#include "telemetry.h"

#include <utility>

namespace yuccastair::node {

const char* OutcomeName(wire::Outcome outcome) {
  switch (outcome) {
    case wire::OUTCOME_OK:
      return "ok";
    case wire::OUTCOME_NOT_RUN:
      return "not-run";
    default:
      return "unknown";
  }
}

Telemetry::Telemetry(const Settings& settings)
    : sample_one_in_(settings.trace_sample_one_in),
      span_exporter_(settings.trace_file, "yuccastair-node", settings.id) {}

Hop Telemetry::StartRequestHop(const std::string& name,
                               const std::string& traceparent) {
  const auto incoming = observe::ParseTraceparent(traceparent);
  return {.name = name,
          .context = observe::NextContext(incoming, sample_one_in_),
          .parent_span_id = incoming ? incoming->span_id : "",
          .start_time = std::chrono::system_clock::now(),
          .steady_start_time = std::chrono::steady_clock::now()};
}

Hop Telemetry::StartCallHop(const std::string& name,
                            const wire::CallRequest& call) {
  const observe::TraceContext parent = {.trace_id = call.trace_id(),
                                        .span_id = call.parent_span_id(),
                                        .sampled = call.trace_sampled()};
  return {.name = name,
          .context = observe::NextContext(parent, sample_one_in_),
          .parent_span_id = parent.span_id,
          .start_time = std::chrono::system_clock::now(),
          .steady_start_time = std::chrono::steady_clock::now()};
}

void Telemetry::FinishHop(const Hop& hop,
                          const std::string& request_id,
                          const wire::CallRequest* call,
                          const wire::CallReply& reply) {
  const std::string outcome = OutcomeName(reply.outcome());
  const std::string organisation = call ? call->organisation() : "";
  const std::string route = call ? call->route() : "";
  metrics_.Count(
      "yuccastair_" + hop.name + "_requests_total",
      {{"organisation", organisation}, {"route", route}, {"outcome", outcome}});
  metrics_.Observe("yuccastair_" + hop.name + "_seconds",
                   {{"outcome", outcome}},
                   std::chrono::steady_clock::now() - hop.steady_start_time);
  const bool responded = reply.outcome() == wire::OUTCOME_OK;
  if (!responded) {
    metrics_.Count("yuccastair_" + hop.name + "_rejections_total",
                   {{"step", reply.step()}, {"outcome", outcome}});
    decisions_.Record({.request_id = request_id,
                       .step = reply.step(),
                       .verdict = outcome,
                       .reason = reply.reason(),
                       .numbers = {{"hop", hop.name},
                                   {"organisation", organisation},
                                   {"route", route},
                                   {"depth", call ? call->depth() : 0},
                                   {"running", reply.load().running()},
                                   {"queued", reply.load().queued()},
                                   {"limit", reply.load().limit()}},
                       .at = std::chrono::system_clock::now()});
  }
  if (!hop.context.sampled)
    return;
  span_exporter_.Export(
      {.context = hop.context,
       .parent_span_id = hop.parent_span_id,
       .name = hop.name,
       .start = hop.start_time,
       .end = std::chrono::system_clock::now(),
       .attributes = {{"yuccastair.request", request_id},
                      {"yuccastair.organisation", organisation},
                      {"yuccastair.route", route},
                      {"yuccastair.outcome", outcome},
                      {"yuccastair.step", reply.step()}},
       .error = !responded});
}

}  // namespace yuccastair::node
