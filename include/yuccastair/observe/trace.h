// Spans of a call, one for each hop, in W3C trace context and OTLP-shaped JSON.

#ifndef YUCCASTAIR_OBSERVE_TRACE_H_
#define YUCCASTAIR_OBSERVE_TRACE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "yuccastair/support/bounded_ring.h"

namespace yuccastair::observe {

/// The part of a trace that travels with a request.
struct TraceContext {
  /// 32 hexadecimal digits.
  std::string trace_id;
  /// 16 hexadecimal digits: the span that the next hop is a child of.
  std::string span_id;
  bool sampled = false;
};

/// Parses a `traceparent` header; returns nothing if it is not valid.
std::optional<TraceContext> ParseTraceparent(std::string_view text);

std::string FormatTraceparent(const TraceContext& context);

/// Continues \p incoming with a new span id, or starts a new trace that is
/// sampled once in \p sample_one_in requests (0 for never).
TraceContext NextContext(const std::optional<TraceContext>& incoming,
                         std::uint32_t sample_one_in);

/// One hop of a request.
struct Span {
  TraceContext context;
  /// Empty for the first span of a trace.
  std::string parent_span_id;
  std::string name;
  std::chrono::system_clock::time_point start;
  std::chrono::system_clock::time_point end;
  nlohmann::json attributes = nlohmann::json::object();
  bool error = false;
};

/// Returns a span in the JSON form of OTLP, on one line.
std::string ToOtlpJson(const Span& span,
                       const std::string& service,
                       const std::string& instance);

/// Writes sampled spans to a file, one JSON object a line, on its own thread.
///
/// A span that finds the ring full is dropped and counted; a request never
/// waits for the file.
class SpanExporter {
 public:
  /// Writes nothing if \p path is empty. Throws Error with step "open trace
  /// file" if the file cannot be opened.
  SpanExporter(const std::string& path,
               std::string service,
               std::string instance);
  ~SpanExporter();

  SpanExporter(const SpanExporter&) = delete;
  SpanExporter& operator=(const SpanExporter&) = delete;

  void Export(Span span);

  std::uint64_t dropped() const { return dropped_; }

 private:
  void Run();

  const std::string service_;
  const std::string instance_;
  std::ofstream file_;
  support::BoundedRing<Span> ring_;
  std::atomic<std::uint64_t> dropped_ = 0;
  std::thread thread_;
};

}  // namespace yuccastair::observe

#endif  // YUCCASTAIR_OBSERVE_TRACE_H_
