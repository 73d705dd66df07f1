// Trace context: only valid headers are continued, spans keep their parents.

#include "yuccastair/observe/trace.h"

#include <catch2/catch.hpp>

namespace yuccastair::observe {
namespace {

constexpr const char* kValid =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

TEST_CASE("a valid traceparent is read and written back") {
  const auto context = ParseTraceparent(kValid);
  REQUIRE(context);
  CHECK(context->sampled);
  CHECK(FormatTraceparent(*context) == kValid);
}

TEST_CASE("an invalid traceparent starts a new trace") {
  const std::string text =
      GENERATE("", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
               "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
               "00-00000000000000000000000000000000-b7ad6b7169203331-01",
               "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
               "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
               "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
               "00-0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331-01");
  CHECK_FALSE(ParseTraceparent(text));
}

TEST_CASE("the next hop keeps the trace and gets a span of its own") {
  const auto incoming = ParseTraceparent(kValid);
  const TraceContext next = NextContext(incoming, 0);
  CHECK(next.trace_id == incoming->trace_id);
  CHECK(next.span_id != incoming->span_id);
  CHECK(next.sampled);
}

TEST_CASE("a span is written in the form of OTLP") {
  Span span;
  span.context = *ParseTraceparent(kValid);
  span.parent_span_id = "00f067aa0ba902b7";
  span.name = "entry";
  span.attributes = {{"attempts", 2}, {"outcome", "ok"}};
  span.error = true;
  const auto line = nlohmann::json::parse(ToOtlpJson(span, "orders", "n1"));
  const auto& written = line["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  CHECK(written["traceId"] == span.context.trace_id);
  CHECK(written["parentSpanId"] == span.parent_span_id);
  CHECK(written["status"]["code"] == 2);
  CHECK(written["attributes"][0]["value"]["intValue"] == "2");
}

}  // namespace
}  // namespace yuccastair::observe
