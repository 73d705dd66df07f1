// Encodes calls and outcomes as headers.

#include "peer_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace yuccastair::relay {
namespace {

namespace http = stream::http;
using admission::DownstreamOutcome;
using std::chrono::milliseconds;

// Both directions use a single header, since the calls between targets are
// small and traffic between zones is charged. The parts are separated by tabs,
// which cannot occur in names that are valid in a header.
constexpr const char* kPeerHeader = "yc";
constexpr char kSeparator = '\t';
// Deadline in ms, queue time in ms, importance, rank, depth, idempotent, is
// retry, parent is retry, age of the caller's request in ms; caller may not
// repeat, which relays of earlier versions omit.
constexpr std::size_t kCallNumberCount = 10;
constexpr std::size_t kRequiredCallNumberCount = 9;
// Numbers, request id, service, route, organisation, caller service.
constexpr std::size_t kCallPartCount = 6;
// Outcome, status of the target, reached target, retry after in ms, running,
// queued, limit, state, downstream call failed, worst call outcome, downstream
// overloaded; rejecting targets had free slots, which relays of earlier
// versions omit.
constexpr std::size_t kResultNumberCount = 12;
constexpr std::size_t kRequiredResultNumberCount = 11;
// The reason and the missing service follow if they are set. White space at the
// end of a header is removed in transit, so a part that may be empty must not
// be last.

template <std::size_t kCount>
std::string JoinNumbers(const std::array<std::int64_t, kCount>& numbers) {
  std::string text;
  for (const std::int64_t number : numbers) {
    if (!text.empty())
      text += ',';
    text += std::to_string(number);
  }
  return text;
}

/// Returns nothing unless the first kRequired numbers are there. Others are 0
/// if they are missing.
template <std::size_t kRequired, std::size_t kCount>
std::optional<std::array<std::int64_t, kCount>> ParseNumbers(
    std::string_view text) {
  std::array<std::int64_t, kCount> numbers{};
  const char* at = text.data();
  const char* const end = text.data() + text.size();
  for (std::size_t i = 0; i < kCount; ++i) {
    if (i >= kRequired && at == end)
      break;
    std::int64_t& number = numbers[i];
    const auto parsed = std::from_chars(at, end, number);
    if (parsed.ec != std::errc())
      return std::nullopt;
    at = parsed.ptr;
    if (at != end)
      ++at;
  }
  return numbers;
}

/// Splits the header into its parts; returns nothing if their number differs
/// from kCount.
template <std::size_t kCount>
std::optional<std::array<std::string, kCount>> SplitParts(
    const stream::Fields& fields) {
  const auto value = fields[kPeerHeader];
  std::string_view text(value.data(), value.size());
  std::array<std::string, kCount> parts;
  for (std::size_t i = 0; i < kCount; ++i) {
    const std::size_t end = text.find(kSeparator);
    if ((end == std::string_view::npos) != (i + 1 == kCount))
      return std::nullopt;
    parts[i] = text.substr(0, end);
    text.remove_prefix(std::min(text.size(), parts[i].size() + 1));
  }
  return parts;
}

/// Returns the number of an outcome in a header. Relays of earlier versions
/// know no rejections with free slots, which a number of their own states.
std::int64_t EncodeOutcome(DownstreamOutcome outcome) {
  switch (outcome) {
    case DownstreamOutcome::kServed:
      return 0;
    case DownstreamOutcome::kServedAtCapacity:
      return 1;
    case DownstreamOutcome::kRejectedWithFreeSlots:
    case DownstreamOutcome::kRejected:
      return 2;
    case DownstreamOutcome::kNoCapacity:
      return 3;
  }
  return -1;
}

std::optional<DownstreamOutcome> DecodeOutcome(std::int64_t number,
                                               bool with_free_slots) {
  switch (number) {
    case 0:
      return DownstreamOutcome::kServed;
    case 1:
      return DownstreamOutcome::kServedAtCapacity;
    case 2:
      return with_free_slots ? DownstreamOutcome::kRejectedWithFreeSlots
                             : DownstreamOutcome::kRejected;
    case 3:
      return DownstreamOutcome::kNoCapacity;
    default:
      return std::nullopt;
  }
}

}  // namespace

void RemovePeerHeaders(stream::Fields& fields) {
  fields.erase(kPeerHeader);
}

http::header<true> EncodeCall(const RelayCall& call, support::TimePoint now) {
  http::header<true> head = call.head;
  std::string text = JoinNumbers<kCallNumberCount>(
      {RemainingTime(call.deadline, now).count(),
       RemainingTime(call.queue_deadline, now).count(), call.importance,
       call.rank, call.depth, call.idempotent, call.is_retry,
       call.parent_is_retry, RemainingTime(now, call.requested_at).count(),
       call.caller_kind == admission::RequestKind::kUnrepeatable});
  for (const std::string* part : {&call.request_id, &call.service, &call.route,
                                  &call.organisation, &call.caller_service}) {
    text += kSeparator;
    text += *part;
  }
  head.set(kPeerHeader, text);
  return head;
}

bool DecodeCall(http::header<true> head,
                support::TimePoint now,
                RelayCall& call) {
  auto parts = SplitParts<kCallPartCount>(head);
  if (!parts)
    return false;
  auto& [text, request_id, service, route, organisation, caller] = *parts;
  const auto numbers =
      ParseNumbers<kRequiredCallNumberCount, kCallNumberCount>(text);
  if (!numbers || request_id.empty() || service.empty())
    return false;
  const auto [deadline, queue, importance, rank, depth, idempotent, is_retry,
              parent_is_retry, age, unrepeatable] = *numbers;
  if (!wire::Importance_IsValid(static_cast<int>(importance)))
    return false;
  call.request_id = std::move(request_id);
  call.service = std::move(service);
  call.route = std::move(route);
  call.organisation = std::move(organisation);
  call.caller_service = std::move(caller);
  call.deadline = now + milliseconds(deadline);
  call.queue_deadline = now + milliseconds(queue);
  call.requested_at = now - milliseconds(age);
  call.importance = static_cast<wire::Importance>(importance);
  call.rank = static_cast<std::uint32_t>(rank);
  call.depth = static_cast<std::uint32_t>(depth);
  call.idempotent = idempotent != 0;
  call.is_retry = is_retry != 0;
  call.parent_is_retry = parent_is_retry != 0;
  call.caller_kind = unrepeatable != 0 ? admission::RequestKind::kUnrepeatable
                                       : admission::RequestKind::kRepeatable;
  RemovePeerHeaders(head);
  stream::RemoveHopByHop(head);
  call.head = std::move(head);
  return true;
}

http::header<false> EncodeResult(const CallResult& result) {
  http::header<false> head = result.head;
  if (result.outcome != wire::OUTCOME_OK)
    head.result(http::status::service_unavailable);
  const wire::LoadReport load = result.load.value_or(wire::LoadReport());
  std::string text = JoinNumbers<kResultNumberCount>(
      {result.outcome, head.result_int(), result.reached_target,
       result.retry_after.count(), load.running(), load.queued(), load.limit(),
       load.state(), result.downstream_call_failed,
       EncodeOutcome(result.worst_call_outcome), result.downstream_overloaded,
       result.worst_call_outcome == DownstreamOutcome::kRejectedWithFreeSlots});
  if (!result.reason.empty() || !result.missing_service.empty())
    text += kSeparator + result.reason;
  if (!result.missing_service.empty())
    text += kSeparator + result.missing_service;
  head.set(kPeerHeader, text);
  return head;
}

bool DecodeResult(http::header<false> head, CallResult& result) {
  const auto value = head[kPeerHeader];
  const std::string_view text(value.data(), value.size());
  const std::size_t end = std::min(text.find(kSeparator), text.size());
  const auto numbers =
      ParseNumbers<kRequiredResultNumberCount, kResultNumberCount>(
          text.substr(0, end));
  if (!numbers)
    return false;
  const auto [outcome, status, reached, retry_after, running, queued, limit,
              state, downstream_call_failed, worst_call_outcome,
              downstream_overloaded, with_free_slots] = *numbers;
  const auto call_outcome =
      DecodeOutcome(worst_call_outcome, with_free_slots != 0);
  if (!wire::Outcome_IsValid(static_cast<int>(outcome)) ||
      !wire::TargetState_IsValid(static_cast<int>(state)) || !call_outcome ||
      status != head.result_int())
    return false;
  result.outcome = static_cast<wire::Outcome>(outcome);
  result.reached_target = reached != 0;
  result.downstream_call_failed = downstream_call_failed != 0;
  result.worst_call_outcome = *call_outcome;
  result.downstream_overloaded = downstream_overloaded != 0;
  result.retry_after = milliseconds(retry_after);
  const std::string_view rest = text.substr(std::min(end + 1, text.size()));
  const std::size_t reason_end = std::min(rest.find(kSeparator), rest.size());
  result.reason = rest.substr(0, reason_end);
  result.missing_service = rest.substr(std::min(reason_end + 1, rest.size()));
  wire::LoadReport load;
  load.set_running(static_cast<std::uint32_t>(running));
  load.set_queued(static_cast<std::uint32_t>(queued));
  load.set_limit(static_cast<std::uint32_t>(limit));
  load.set_state(static_cast<wire::TargetState>(state));
  result.load = load;
  RemovePeerHeaders(head);
  stream::RemoveHopByHop(head);
  result.head = std::move(head);
  return true;
}

}  // namespace yuccastair::relay
