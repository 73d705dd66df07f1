// Spans, metrics and decisions that a node records about requests.

#ifndef YUCCASTAIR_LIB_NODE_TELEMETRY_H_
#define YUCCASTAIR_LIB_NODE_TELEMETRY_H_

#include <chrono>
#include <optional>
#include <string>

#include "envelope.pb.h"
#include "yuccastair/node/settings.h"
#include "yuccastair/observe/decision_log.h"
#include "yuccastair/observe/metrics.h"
#include "yuccastair/observe/trace.h"

namespace yuccastair::node {

/// One hop of a request in progress.
struct Hop {
  std::string name;
  observe::TraceContext context;
  std::string parent_span_id;
  std::chrono::system_clock::time_point start_time;
  std::chrono::steady_clock::time_point steady_start_time;
};

/// Records the spans, metrics and decisions of one node. Safe for use by
/// several threads.
class Telemetry {
 public:
  explicit Telemetry(const Settings& settings);

  /// Starts the hop of a request that was received with \p traceparent, which
  /// may be empty or invalid.
  Hop StartRequestHop(const std::string& name, const std::string& traceparent);

  /// Starts a hop whose parent is the span that \p call names.
  Hop StartCallHop(const std::string& name, const wire::CallRequest& call);

  /// Ends a hop with the reply to the request. \p call is null if the request
  /// was rejected before a call was made of it.
  void FinishHop(const Hop& hop,
                 const std::string& request_id,
                 const wire::CallRequest* call,
                 const wire::CallReply& reply);

  observe::Metrics& metrics() { return metrics_; }
  observe::DecisionLog& decisions() { return decisions_; }

 private:
  const std::uint32_t sample_one_in_;
  observe::Metrics metrics_;
  observe::DecisionLog decisions_;
  observe::SpanExporter span_exporter_;
};

/// Returns the outcome as written in headers, metrics and logs.
const char* OutcomeName(wire::Outcome outcome);

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_TELEMETRY_H_
