// Trace context and the span exporter.

#include "yuccastair/observe/trace.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "yuccastair/support/error.h"
#include "yuccastair/support/id.h"

namespace yuccastair::observe {
namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
// "00-" trace id "-" span id "-" flags
constexpr std::size_t kTraceparentSize = 55;
constexpr std::size_t kSpanRingCapacity = 4096;
constexpr std::chrono::milliseconds kExporterWait{500};

bool IsLowerHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isdigit(c) || (c >= 'a' && c <= 'f');
  });
}

bool IsAllZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

std::string UnixNanos(std::chrono::system_clock::time_point time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            time.time_since_epoch())
                            .count());
}

nlohmann::json OtlpValue(const nlohmann::json& value) {
  if (value.is_boolean())
    return {{"boolValue", value}};
  // OTLP writes 64-bit integers as strings in JSON.
  if (value.is_number_integer())
    return {{"intValue", value.dump()}};
  if (value.is_number())
    return {{"doubleValue", value}};
  return {{"stringValue",
           value.is_string() ? value.get<std::string>() : value.dump()}};
}

nlohmann::json OtlpAttributes(const nlohmann::json& attributes) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [key, value] : attributes.items())
    list.push_back({{"key", key}, {"value", OtlpValue(value)}});
  return list;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view text) {
  if (text.size() < kTraceparentSize || !IsLowerHex(text.substr(0, 2)) ||
      text.substr(0, 2) == "ff" || text[2] != '-' || text[35] != '-' ||
      text[52] != '-')
    return std::nullopt;
  // Version 00 has exactly four fields; later versions may append more.
  if (text.substr(0, 2) == "00" && text.size() != kTraceparentSize)
    return std::nullopt;
  const std::string_view trace_id = text.substr(3, kTraceIdDigits);
  const std::string_view span_id = text.substr(36, kSpanIdDigits);
  const std::string_view flags = text.substr(53, 2);
  if (!IsLowerHex(trace_id) || IsAllZero(trace_id) || !IsLowerHex(span_id) ||
      IsAllZero(span_id) || !IsLowerHex(flags))
    return std::nullopt;
  const int flag_bits = std::stoi(std::string(flags), nullptr, 16);
  return TraceContext{std::string(trace_id), std::string(span_id),
                      (flag_bits & 1) != 0};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id +
         (context.sampled ? "-01" : "-00");
}

TraceContext NextContext(const std::optional<TraceContext>& incoming,
                         std::uint32_t sample_one_in) {
  TraceContext context;
  context.span_id = support::RandomHex(kSpanIdDigits / 2);
  if (incoming) {
    context.trace_id = incoming->trace_id;
    context.sampled = incoming->sampled;
    return context;
  }
  context.trace_id = support::RandomHex(kTraceIdDigits / 2);
  context.sampled =
      sample_one_in > 0 && support::RandomBelow(sample_one_in) == 0;
  return context;
}

std::string ToOtlpJson(const Span& span,
                       const std::string& service,
                       const std::string& instance) {
  const nlohmann::json resource = {
      {"attributes", OtlpAttributes({{"service.name", service},
                                     {"service.instance.id", instance}})}};
  constexpr int kStatusOk = 1;
  constexpr int kStatusError = 2;
  const nlohmann::json body = {
      {"traceId", span.context.trace_id},
      {"spanId", span.context.span_id},
      {"parentSpanId", span.parent_span_id},
      {"name", span.name},
      {"startTimeUnixNano", UnixNanos(span.start)},
      {"endTimeUnixNano", UnixNanos(span.end)},
      {"attributes", OtlpAttributes(span.attributes)},
      {"status", {{"code", span.error ? kStatusError : kStatusOk}}}};
  nlohmann::json scope;
  scope["scope"] = {{"name", "yuccastair"}};
  scope["spans"] = nlohmann::json::array({body});
  nlohmann::json resource_spans;
  resource_spans["resource"] = resource;
  resource_spans["scopeSpans"] = nlohmann::json::array({scope});
  nlohmann::json line;
  line["resourceSpans"] = nlohmann::json::array({resource_spans});
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

SpanExporter::SpanExporter(const std::string& path,
                           std::string service,
                           std::string instance)
    : service_(std::move(service)),
      instance_(std::move(instance)),
      ring_(kSpanRingCapacity) {
  if (path.empty())
    return;
  file_.open(path, std::ios::app);
  if (!file_)
    throw support::Error("open trace file", "", path + " cannot be opened");
  thread_ = std::thread([this] { Run(); });
}

SpanExporter::~SpanExporter() {
  ring_.Close();
  if (thread_.joinable())
    thread_.join();
}

void SpanExporter::Export(Span span) {
  if (!span.context.sampled || !thread_.joinable())
    return;
  if (!ring_.TryPush(std::move(span)))
    ++dropped_;
}

void SpanExporter::Run() {
  while (true) {
    const auto span = ring_.Pop(kExporterWait);
    if (span) {
      file_ << ToOtlpJson(*span, service_, instance_) << '\n';
      continue;
    }
    file_.flush();
    if (ring_.closed())
      return;
  }
}

}  // namespace yuccastair::observe
