// What a node records about the requests that pass it.

#ifndef YUCCASTAIR_LIB_NODE_OBSERVER_H_
#define YUCCASTAIR_LIB_NODE_OBSERVER_H_

#include <chrono>
#include <optional>
#include <string>

#include "envelope.pb.h"
#include "yuccastair/node/settings.h"
#include "yuccastair/observe/decision_log.h"
#include "yuccastair/observe/metrics.h"
#include "yuccastair/observe/trace.h"

namespace yuccastair::node {

/// One hop of a request while it is under way.
struct Hop {
  std::string name;
  observe::TraceContext context;
  std::string parent_span_id;
  std::chrono::system_clock::time_point started;
  std::chrono::steady_clock::time_point started_steady;
};

/// The spans, metrics and decisions of one node. Safe for use by several
/// threads.
class Observer {
 public:
  explicit Observer(const Settings& settings);

  /// Starts the hop of a request that came in with \p traceparent, which may be
  /// empty or invalid.
  Hop StartRequest(const std::string& name, const std::string& traceparent);

  /// Starts a hop below the span that \p call names.
  Hop StartCall(const std::string& name, const wire::CallRequest& call);

  /// Ends a hop with the reply that the request got. \p call is empty where the
  /// request was rejected before it became a call.
  void Finish(const Hop& hop,
              const std::string& request_id,
              const wire::CallRequest* call,
              const wire::CallReply& reply);

  observe::Metrics& metrics() { return metrics_; }
  observe::DecisionLog& decisions() { return decisions_; }

 private:
  const std::uint32_t sample_one_in_;
  observe::Metrics metrics_;
  observe::DecisionLog decisions_;
  observe::SpanExporter spans_;
};

/// The outcome as it stands in headers, metrics and logs.
const char* OutcomeName(wire::Outcome outcome);

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_OBSERVER_H_
